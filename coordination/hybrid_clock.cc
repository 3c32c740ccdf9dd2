#include "coordination/hybrid_clock.h"

namespace hornbeamspool::coordination {

HybridTime HybridClock::Tick(WallTime now) {
  const std::int64_t wall_us = now.time_since_epoch().count();
  if (wall_us > this->last.wall_us) {
    this->last = HybridTime{wall_us, 0};
  } else {
    ++this->last.counter;
  }
  return this->last;
}

bool HybridClock::Observe(HybridTime remote, WallTime now) {
  const std::int64_t limit_us = (now.time_since_epoch() + kMaxDrift).count();
  if (remote.wall_us > limit_us) return false;
  if (remote > this->last) this->last = remote;
  return true;
}

}  // namespace hornbeamspool::coordination
