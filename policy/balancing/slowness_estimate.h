// The slowness that an upstream instance reports of itself: the time that work
// takes as a multiple of the usual time. It changes many times a second, so a
// report counts by its age, and the mean stands in for what has aged.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class SlownessEstimate {
 public:
  // `taken_at`: when the upstream reported it. Values out of bounds are
  // clamped; reports older than the last one are ignored.
  void OnReport(double slowness, coordination::TimePoint taken_at);

  // Expected now; 1 without reports.
  double Expected(coordination::TimePoint now) const;
  // What must be reckoned with now: a mean hides peaks, so the usual deviation
  // above it is added as far as the last report has aged.
  double Peak(coordination::TimePoint now) const;
  double Mean() const { return this->mean; }
  // Whether the last report is below the mean. Other VMs may have read it too.
  bool LooksFast() const { return this->last < this->mean; }

 private:
  double WeightOfLast(coordination::TimePoint now) const;

  double mean = 1;
  double upward_deviation = 0;  // mean of what exceeds the mean
  double last = 1;
  double reports = 0;
  coordination::TimePoint last_at{};
};

}  // namespace hornbeamspool::policy
