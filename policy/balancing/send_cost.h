// The cost of sending a request to an upstream, as milliseconds of delay.
#pragma once

#include "policy/balancing/instance_speed.h"
#include "policy/balancing/load_estimate.h"

namespace hornbeamspool::policy {

class ServiceRates;

// What a request needs.
struct SendDemand {
  bool is_model_request = false;
  double own_tokens = 0;       // to prefill, of the part that is not shared
  double shared_tokens = 0;    // to prefill, of shared parts
  double events = 0;           // of the answer, at most
  double target_pause_ms = 1;  // between events
};

// The state of an upstream as this VM expects it.
struct UpstreamView {
  ExpectedLoad load;
  InstanceRates rates;  // at the slowness of this moment
  // Factor by which prefills may take longer than `rates` say.
  double peak_factor = 1;
  double backlog_ms = 0;  // until the prefill of earlier prompts is done
  double slots = 1;
  double failure_rate = 0;  // 0 to 1
  bool other_zone = false;
  bool kv_cache_full = false;  // lacks room for the request
};

// At an upstream of the service's mean rates, the cost doesn't depend on its
// speed.
double SendCost(const UpstreamView& upstream, const SendDemand& demand,
                const ServiceRates& service);

}  // namespace hornbeamspool::policy
