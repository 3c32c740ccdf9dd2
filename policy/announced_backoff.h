// What the head of an upstream's answer says of further requests to it.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Longer pauses are cut to this.
inline constexpr coordination::Duration kMaxPause = std::chrono::minutes(5);

struct AnnouncedBackoff {
  bool leaving = false;  // the upstream shuts down
  // From the arrival of the head; 0: none. The VM whose connection carried the
  // answer must send nothing in this time.
  coordination::Duration pause{};
  bool malformed = false;  // a value can't be parsed

  bool Any() const {
    return this->leaving || this->pause > coordination::Duration(0) ||
           this->malformed;
  }
};

}  // namespace hornbeamspool::policy
