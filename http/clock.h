// The monotonic clock, for code with I/O: decisions are given the time.
#pragma once

#include <chrono>

#include "coordination/time.h"

namespace hornbeamspool {

inline coordination::TimePoint Now() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::steady_clock::now());
}

}  // namespace hornbeamspool
