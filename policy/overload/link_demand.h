// The rate at which arriving requests will use the VM's link, estimated when
// they arrive. The link's own meter sees a stream's bytes only over the seconds
// that it runs, which is too late to turn away the requests that came with it.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LinkDemand {
 public:
  // `bytes_per_second`: capacity in each direction; 0: not known, and nothing
  // is ever short.
  explicit LinkDemand(std::int64_t bytes_per_second)
      : bytes_per_second(bytes_per_second) {}

  // Counts a request that arrived, and one that was admitted.
  void Offer(std::int64_t bytes, coordination::TimePoint now);
  void OnAdmitted(std::int64_t bytes, coordination::TimePoint now);
  // Corrects the estimates by what the link has carried in the busier direction
  // since the last call.
  void OnMeasured(std::int64_t bytes, coordination::TimePoint now);

  // Offered rate as a fraction of the capacity.
  double Utilisation(coordination::TimePoint now) const;
  // The fraction of the offered bytes that has to yield.
  double Shed(coordination::TimePoint now) const;

 private:
  // Exponentially decaying sum.
  struct Sum {
    double bytes = 0;
    coordination::TimePoint at{};

    double At(coordination::TimePoint now, double seconds) const;
    void Add(std::int64_t amount, coordination::TimePoint now, double seconds);
  };

  double Correction(coordination::TimePoint now) const;

  std::int64_t bytes_per_second;
  Sum offered;
  Sum admitted;
  Sum measured;
};

}  // namespace hornbeamspool::policy
