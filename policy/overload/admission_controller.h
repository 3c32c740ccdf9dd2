// Decides which requests are admitted, delayed or refused when the upstreams of
// a service or the VM itself are short of capacity. Less urgent requests yield
// before more urgent ones, and what an organisation sends beyond its share
// before the rest; nothing that is offered starves. See
// docs/design/overload.md.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "policy/balancing/upstream_forecast.h"
#include "policy/overload/fair_shares.h"
#include "policy/overload/link_demand.h"
#include "policy/overload/overload_counters.h"
#include "policy/overload/overload_request.h"
#include "policy/overload/shortage_meter.h"
#include "policy/overload/vm_pressure.h"
#include "policy/overload/yield_order.h"

namespace hornbeamspool::policy {

enum class OverloadMode : std::uint8_t {
  kOff,       // refuses by the link's delay alone
  kPriority,  // as described above
};

class AdmissionController {
 public:
  // `link_bytes_per_second`: of the VM, in each direction; 0: not known.
  // `salt`: not known to callers, who choose the ids of their requests.
  AdmissionController(OverloadMode mode, std::int64_t link_bytes_per_second,
                      std::uint64_t salt);

  bool Enabled() const { return this->mode == OverloadMode::kPriority; }

  // Decides by the VM's resources, once the head of a request has been read.
  // `link_delay`: present queueing delay. Waits never.
  OverloadDecision DecideAtVm(const OverloadRequest& request,
                              coordination::Duration link_delay,
                              coordination::TimePoint now);
  // As DecideAtVm, but counts the request only if it is refused: the caller
  // calls DecideAtVm again once the body has been read.
  OverloadDecision DecideAtHead(const OverloadRequest& request,
                                coordination::Duration link_delay,
                                coordination::TimePoint now);

  // Decides by the capacity of the request's service, before it is sent.
  // `best`: forecast of the upstream that would get it; empty when nothing is
  // known, which counts as free capacity. After a wait, the request asks again
  // with `offered_before` set.
  OverloadDecision Decide(const OverloadRequest& request,
                          const std::optional<UpstreamForecast>& best,
                          coordination::TimePoint now);

  // A sample of the VM's resources, and the bytes that its link has carried in
  // the busier direction since the last one.
  void UpdatePressure(PressureSample sample, std::int64_t link_bytes,
                      coordination::TimePoint now);
  const VmPressure& Pressure() const { return this->pressure; }

  const OverloadCounters& Counters() const { return this->counters; }

 private:
  // State of one service whose upstreams may be short.
  struct ServiceState {
    ShortageMeter shortage;
    YieldOrder order;
    FairShares shares;
  };

  struct Verdict {
    bool serve = true;
    OverloadReason reason = OverloadReason::kNone;
    double shed = 0;
  };

  ServiceState& StateOf(std::string_view service);
  Verdict Draw(const OverloadRequest& request, YieldOrder::Range range,
               FairShares& shares, double shed, std::uint64_t seed,
               coordination::TimePoint now);
  Verdict JudgeVm(const OverloadRequest& request, YieldOrder::Range range,
                  coordination::Duration link_delay,
                  coordination::TimePoint now);
  OverloadDecision RefuseAtVm(const OverloadRequest& request,
                              const Verdict& verdict);

  OverloadMode mode;
  std::uint64_t salt;
  std::uint64_t unnamed = 0;  // requests without an id
  VmPressure pressure;
  LinkDemand link;
  YieldOrder link_order;
  FairShares link_shares;
  std::map<std::string, ServiceState, std::less<>> services;
  OverloadCounters counters;
};

}  // namespace hornbeamspool::policy
