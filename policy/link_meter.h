// The load of the VM's own link. Small VMs have links of 10 Mbit/s: without a
// bound, requests queue there past their deadlines, and news from the store
// with them.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LinkMeter {
 public:
  // `bytes_per_second` of the link, each way; 0: not known, never busy.
  explicit LinkMeter(std::int64_t bytes_per_second)
      : bytes_per_second(bytes_per_second) {}

  void AddSent(std::int64_t bytes, coordination::TimePoint now);
  void AddReceived(std::int64_t bytes, coordination::TimePoint now);

  // The time until the link has sent all that was handed to it.
  coordination::Duration QueueDelay(coordination::TimePoint now) const;

  // Whether callers should be led to other VMs: from the time when one way has
  // been nearly full, until both have been half empty.
  bool IsCongested(coordination::TimePoint now);

 private:
  // Bytes of the last second or two, as a share of what the link carries.
  struct Load {
    double share = 0;
    coordination::TimePoint at{};
  };

  void Count(Load& load, std::int64_t bytes, coordination::TimePoint now) const;
  double ShareOf(const Load& load, coordination::TimePoint now) const;

  std::int64_t bytes_per_second;
  coordination::TimePoint free_at{};  // when the link has sent everything
  Load sent;
  Load received;
  bool crowded = false;
};

}  // namespace hornbeamspool::policy
