// A retry budget over a sliding window: limits the retries that one VM sends
// to a service to a fraction of the requests that it received for it.
#pragma once

#include <cstdint>
#include <deque>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Limits on the retries to one service. `ratio` applies to each VM's own
// requests, so the VMs' limits add up to the fleet's even while the VMs can't
// communicate.
struct RetryLimits {
  double ratio = 0.1;               // retries per request
  double fleet_extra = 0;           // further retries, shared by all VMs
  coordination::Duration window{};  // length of the sliding window
};

class WindowedRetryBudget {
 public:
  explicit WindowedRetryBudget(RetryLimits limits) : limits(limits) {}

  // Counts a first attempt, which adds `ratio` retries to the budget.
  void RecordRequest(coordination::TimePoint now);

  // Takes one retry; returns false when the window has none left. `vm_count`
  // VMs share the fleet's extra retries; 0 means that the number is unknown,
  // and this VM then takes none of the extra.
  bool TryWithdraw(std::int64_t vm_count, coordination::TimePoint now);

 private:
  // Fraction of `ratio` that a VM uses. The limit applies to sliding windows of
  // the whole fleet, and the VMs' windows are shifted against each other.
  static constexpr double kUsedRatioFraction = 0.8;
  // Fraction of its part of `fleet_extra` that a VM uses: it may not yet know
  // of VMs that were added.
  static constexpr double kUsedExtraFraction = 0.5;

  // Counts over a tenth of the window.
  struct Bucket {
    coordination::TimePoint begin;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
  };

  // Drops buckets that have left the window, and returns the one for `now`.
  Bucket& CurrentBucket(coordination::TimePoint now);

  RetryLimits limits;
  std::deque<Bucket> buckets;  // oldest first
};

}  // namespace hornbeamspool::policy
