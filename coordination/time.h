// Time types shared by all packages. Decision code never reads a clock: its
// callers pass the current time.
#pragma once

#include <chrono>
#include <cstdint>

namespace hornbeamspool::coordination {

// Durations are in microseconds throughout the system.
using Duration = std::chrono::microseconds;

// Monotonic time, unaffected by steps of the wall clock. Used by decision code.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// Wall-clock time. Used only for display and by the hybrid logical clock.
using WallTime = std::chrono::sys_time<Duration>;

// Whole milliseconds, rounded towards zero.
constexpr std::int64_t Milliseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

}  // namespace hornbeamspool::coordination
