// Time types shared by every package. Decisions never read a clock: the caller
// passes the present time in.
#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeamspool::coordination {

// Resolution of every duration in the system.
using Duration = std::chrono::microseconds;

// Monotonic time, used by decisions. Unaffected by clock steps.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time, used only for display and for the hybrid logical clock.
using WallTime = std::chrono::sys_time<Duration>;

// Whole milliseconds, rounded towards zero.
constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace hornbeamspool::coordination
