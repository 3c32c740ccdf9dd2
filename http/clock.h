// The monotonic clock, read only by code that does I/O. Policy code gets the
// time as an argument.
#pragma once

#include <chrono>

#include "coordination/time.h"

namespace hornbeamspool {

// The current time of the steady clock.
inline coordination::TimePoint Now() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace hornbeamspool
