// The clocks that the daemon reads.
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
