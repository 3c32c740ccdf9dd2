// Bounds the repeats that one VM sends to a service by the requests it took for
// it. The fleet's bound is a share of all requests, so that bounds kept by
// every VM on its own add up to it, also while VMs can't talk.
#pragma once

#include <cstdint>
#include <deque>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct RetryBounds {
  double share = 0.1;               // repeats for each request
  double extra = 0;                 // repeats of the whole fleet besides
  coordination::Duration window{};  // over which both are counted
};

class RetryAllowance {
 public:
  explicit RetryAllowance(RetryBounds bounds) : bounds(bounds) {}

  void NoteRequest(coordination::TimePoint now);
  // Takes one repeat. False when the window has none left. `sharers` is the
  // number of VMs that share the fleet's extra repeats; 0: not known, and this
  // VM takes none of them.
  bool Take(std::int64_t sharers, coordination::TimePoint now);

 private:
  // Part of the share that is used: the bound is on sliding windows of the
  // fleet, which VMs see shifted against each other.
  static constexpr double kUsedPart = 0.8;
  // Part of the extra repeats: a VM may not know yet of those that were added.
  static constexpr double kUsedExtra = 0.5;

  struct Slice {
    coordination::TimePoint begin;
    std::int64_t requests = 0;
    std::int64_t repeats = 0;
  };

  Slice& Current(coordination::TimePoint now);

  RetryBounds bounds;
  std::deque<Slice> slices;  // a tenth of the window each
};

}  // namespace hornbeamspool::policy
