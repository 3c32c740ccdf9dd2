// The time that one unit of work takes at one upstream instance, in
// milliseconds, from this VM's observations and from peers' reports. Averages
// are of logarithms, so that one wrong value can't outweigh many right ones,
// and older values count less.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class RateEstimate {
 public:
  struct Observed {
    double ms = 0;
    double weight = 0;  // observations, reduced by their age
  };

  // This VM has measured `ms`. A value above the estimate counts less than one
  // below it, since it may include waits. `prior_ms` is the service's mean.
  void OnObserved(double ms, double prior_ms, coordination::TimePoint now);
  // A peer has estimated `reported.ms` from its own observations.
  void OnReported(const Observed& reported, double prior_ms,
                  coordination::TimePoint now);

  // `prior_ms` as far as little else is known.
  double Value(double prior_ms, coordination::TimePoint now) const;
  // From this VM's observations alone; what peers are told.
  Observed Own(coordination::TimePoint now) const;

 private:
  struct Average {
    double log_ms = 0;
    double weight = 0;
    coordination::TimePoint updated_at{};

    double WeightAt(coordination::TimePoint now) const;
    void Add(double log_value, double added, coordination::TimePoint now);
  };

  Average own;
  Average peers;
};

}  // namespace hornbeamspool::policy
