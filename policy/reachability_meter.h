// Whether this VM reaches the upstreams at all. One that can't be reached is
// that upstream's trouble; many at once are the VM's own.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class ReachabilityMeter {
 public:
  // A send reached its upstream, or did not.
  void Add(bool reached, coordination::TimePoint now);

  // From the time when many sends of the last seconds did not arrive, until
  // few do not.
  bool IsIsolated(coordination::TimePoint now);

 private:
  void Decay(coordination::TimePoint now);

  double sends = 0;
  double missed = 0;
  coordination::TimePoint at{};
  bool isolated = false;
};

}  // namespace hornbeamspool::policy
