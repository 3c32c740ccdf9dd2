// The speed of one upstream instance: what a prompt token, an event of a stream
// and a request of a plain service take there.
#pragma once

#include <cstdint>

#include "coordination/time.h"
#include "policy/balancing/rate_estimate.h"
#include "policy/balancing/slowness_estimate.h"

namespace hornbeamspool::policy {

class ServiceRates;

// Milliseconds, at a reported slowness of 1.
struct InstanceRates {
  double prefill_ms_per_token = 0;
  double event_ms = 0;    // 0: not known
  double request_ms = 0;  // 0: not known
};

class InstanceSpeed {
 public:
  // What peers are told: this VM's own observations.
  struct Report {
    RateEstimate::Observed prefill;
    RateEstimate::Observed event;
    RateEstimate::Observed request;

    // Whether there are recent observations.
    bool Any() const {
      constexpr double kMinWeight = 0.1;
      return this->prefill.weight > kMinWeight ||
             this->event.weight > kMinWeight ||
             this->request.weight > kMinWeight;
    }
  };

  // A prefill took `ms`. How many tokens it was depends on what the engine had
  // cached: between `min_tokens` and `max_tokens`.
  void OnPrefill(double ms, double min_tokens, double max_tokens,
                 ServiceRates& service, coordination::TimePoint now);
  // A stream's events were `ms` apart on average.
  void OnEvents(double ms, ServiceRates& service, coordination::TimePoint now);
  void OnRequest(double ms, ServiceRates& service, coordination::TimePoint now);
  void OnPeerReport(const Report& report, ServiceRates& service,
                    coordination::TimePoint now);
  void OnSlowness(double slowness, coordination::TimePoint taken_at) {
    this->slowness.OnReport(slowness, taken_at);
  }

  InstanceRates Rates(const ServiceRates& service,
                      coordination::TimePoint now) const;
  const SlownessEstimate& Slowness() const { return this->slowness; }
  Report OwnReport(coordination::TimePoint now) const;

 private:
  InstanceRates Compute(const ServiceRates& service,
                        coordination::TimePoint now) const;

  RateEstimate prefill;
  RateEstimate event;
  RateEstimate request;
  SlownessEstimate slowness;
  mutable InstanceRates cached;
  mutable coordination::TimePoint cached_until{};
};

}  // namespace hornbeamspool::policy
