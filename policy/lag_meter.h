// Whether a process falls behind its work, told by how late its timers fire.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LagMeter {
 public:
  // A timer fired this much after its time.
  void Add(coordination::Duration lateness);

  // From the time when timers have been late until they are on time again.
  bool IsBehind() const { return this->behind; }

 private:
  // Timers fire up to 10 ms late on an idle VM. Requests with a target of a
  // tenth of a second can't bear a tenth.
  static constexpr coordination::Duration kBehind =
      std::chrono::milliseconds(100);
  static constexpr coordination::Duration kOnTime =
      std::chrono::milliseconds(30);

  coordination::Duration average{};
  bool behind = false;
};

}  // namespace hornbeamspool::policy
