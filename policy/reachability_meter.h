// Detects that this VM is cut off from the upstreams. One unreachable upstream
// is a failure of that upstream; many at once are a failure of the VM's
// network.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class ReachabilityMeter {
 public:
  // Records whether a send reached its upstream.
  void Add(bool reached, coordination::TimePoint now);

  // Whether the VM is cut off, with hysteresis: from 20 % of recent sends
  // unreachable, and at least 5, until they are 5 % or fewer than one.
  bool IsIsolated(coordination::TimePoint now);

 private:
  void Decay(coordination::TimePoint now);

  // Exponentially decaying counts, as of `updated_at`.
  double sends = 0;
  double unreachable = 0;
  coordination::TimePoint updated_at{};
  bool isolated = false;
};

}  // namespace hornbeamspool::policy
