// Hybrid logical clock: timestamps that follow wall time and never contradict
// the order in which messages were sent and received.
#pragma once

#include <compare>
#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::coordination {

// A timestamp: wall time in microseconds since the Unix epoch, then a counter
// that orders events within the same microsecond.
struct HybridTime {
  std::int64_t wall_us = 0;
  std::uint32_t counter = 0;

  friend auto operator<=>(const HybridTime&, const HybridTime&) = default;
};

class HybridClock {
 public:
  // Returns a timestamp greater than every earlier one of this clock.
  HybridTime Tick(WallTime now);

  // Merges a timestamp received from another process. Later ticks are greater
  // than `remote`. A timestamp further than kMaxDrift ahead of `now` is
  // ignored, so that one broken clock cannot drag the others along.
  // Returns false when the timestamp was ignored.
  bool Observe(HybridTime remote, WallTime now);

 private:
  static constexpr Duration kMaxDrift = std::chrono::seconds(60);

  HybridTime last;
};

}  // namespace hornbeamspool::coordination
