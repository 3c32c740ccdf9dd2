// Detects an overloaded process by the lag of its event loop: how late timers
// fire.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LagMeter {
 public:
  // Adds a sample: how long after its due time a timer fired.
  void Add(coordination::Duration lateness);

  // Whether the process is overloaded, with hysteresis: from an average lag
  // over 100 ms until it is below 30 ms.
  bool IsOverloaded() const { return this->overloaded; }
  coordination::Duration Average() const { return this->average; }

 private:
  // An idle VM's timers fire up to 10 ms late. A lag of 100 ms uses up the
  // whole target latency of the fastest routes.
  static constexpr coordination::Duration kOverloadedLag =
      std::chrono::milliseconds(100);
  static constexpr coordination::Duration kRecoveredLag =
      std::chrono::milliseconds(30);

  coordination::Duration average{};  // exponentially weighted
  bool overloaded = false;
};

}  // namespace hornbeamspool::policy
