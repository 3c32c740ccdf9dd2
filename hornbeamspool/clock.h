// The daemon's clocks: Now() from http/clock.h is monotonic, WallNow() is the
// system time.
#pragma once

#include <chrono>

#include "coordination/time.h"
#include "http/clock.h"

namespace hornbeamspool {

inline coordination::WallTime WallNow() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::system_clock::now());
}

}  // namespace hornbeamspool
