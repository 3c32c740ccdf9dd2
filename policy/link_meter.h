// How long what is sent now waits at the VM's own link. Small VMs have links of
// 10 Mbit/s: without a bound, requests queue there past their deadlines, and
// news from the store with them.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LinkMeter {
 public:
  // `bytes_per_second` of the link; 0: not known, never busy.
  explicit LinkMeter(std::int64_t bytes_per_second)
      : bytes_per_second(bytes_per_second) {}

  // Bytes that were handed to the link.
  void Add(std::int64_t bytes, coordination::TimePoint now);

  // The time until the link has sent all of them.
  coordination::Duration Delay(coordination::TimePoint now) const;

 private:
  std::int64_t bytes_per_second;
  coordination::TimePoint free_at{};  // when the link has sent everything
};

}  // namespace hornbeamspool::policy
