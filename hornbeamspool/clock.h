// The one place where the daemon reads clocks.
#pragma once

#include <chrono>

#include "coordination/time.h"

namespace hornbeamspool {

inline coordination::TimePoint Now() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::steady_clock::now());
}

inline coordination::WallTime WallNow() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::system_clock::now());
}

}  // namespace hornbeamspool
