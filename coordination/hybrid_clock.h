// Hybrid logical clock: timestamps close to wall time that respect causality,
// so that a message is received at a later timestamp than it was sent.
#pragma once

#include <compare>
#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::coordination {

// A timestamp: wall time in microseconds since the Unix epoch, and a counter
// that orders events within one microsecond.
struct HybridTime {
  std::int64_t wall_us = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

// The clock of one process. Not thread-safe.
class HybridClock {
 public:
  // Returns a timestamp greater than all that Tick() returned and Observe()
  // accepted before.
  HybridTime Tick(WallTime now);

  // Merges a timestamp received from another process: later calls of Tick()
  // return greater timestamps. Ignores a timestamp more than kMaxDrift
  // ahead of `now` and returns false, so that one wrong clock cannot advance
  // the clocks of all processes.
  bool Observe(HybridTime remote, WallTime now);

 private:
  static constexpr Duration kMaxDrift = std::chrono::seconds(60);

  HybridTime last;
};

}  // namespace hornbeamspool::coordination
