// Estimates utilisation and queueing delay of the VM's own network link. Small
// VMs have links of 10 Mbit/s: without load shedding, requests queue there past
// their deadlines, and so do updates from the store.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class LinkMeter {
 public:
  // `bytes_per_second`: capacity of the link in each direction; 0: not known,
  // and the link counts as idle.
  explicit LinkMeter(std::int64_t bytes_per_second)
      : bytes_per_second(bytes_per_second) {}

  void AddSent(std::int64_t bytes, coordination::TimePoint now);
  void AddReceived(std::int64_t bytes, coordination::TimePoint now);

  // Time until the link has transmitted everything that was added as sent.
  coordination::Duration QueueDelay(coordination::TimePoint now) const;

  // Utilisation of the busier direction over a second; 1: full.
  double UtilisationAt(coordination::TimePoint now) const;
  // Bytes that the busier direction has carried since the last call.
  std::int64_t TakeCarriedBytes();

  // Whether the load balancer should send callers to other VMs, with
  // hysteresis: from a utilisation of one direction over 60 % until both are
  // below 35 %.
  bool IsCongested(coordination::TimePoint now);

 private:
  // Utilisation of one direction, as an exponentially decaying average.
  struct Utilisation {
    double fraction = 0;
    coordination::TimePoint at{};  // of the last update
  };

  void AddBytes(Utilisation& utilisation, std::int64_t bytes,
                coordination::TimePoint now) const;
  double FractionAt(const Utilisation& utilisation,
                    coordination::TimePoint now) const;

  std::int64_t bytes_per_second;
  coordination::TimePoint queue_empty_at{};
  Utilisation sent;
  Utilisation received;
  std::int64_t sent_bytes = 0;  // since the last TakeCarriedBytes
  std::int64_t received_bytes = 0;
  bool congested = false;
};

}  // namespace hornbeamspool::policy
