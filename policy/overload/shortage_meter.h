// Estimates from forecasts which fraction of the work that is offered to a
// service exceeds its capacity. No capacity has to be known: the fraction rises
// while requests are forecast to begin late and falls while they are not, so
// that queues settle below the targets. Reports are stale by up to a second;
// the fraction changes slowly in comparison, so that it settles.
#pragma once

#include "coordination/time.h"

namespace hornbeamspool::policy {

class ShortageMeter {
 public:
  // Adds the forecast time to the first event of an offered request, as a
  // fraction of its target; 0 when an upstream has a free slot.
  void Add(double lateness, coordination::TimePoint now);

  // The fraction of the offered work that has to yield, 0 to 0.9.
  double Shed() const { return this->shed; }

 private:
  double lateness = 0;  // moving average
  double integral = 0;  // of the lateness beyond its target
  double shed = 0;
  coordination::TimePoint updated_at{};
};

}  // namespace hornbeamspool::policy
