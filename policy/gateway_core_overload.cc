// The part of GatewayCore that asks overload control before a send.
#include <optional>
#include <utility>

#include "policy/gateway_core.h"
#include "policy/overload/overload_input.h"
#include "policy/overload/shed_refusal.h"

namespace hornbeamspool::policy {

using coordination::TimePoint;

Refusal ShedRefusal(const OverloadRequest& request,
                    const OverloadDecision& decision) {
  return {ErrorKindOf(decision.reason), decision.retry_after, std::nullopt,
          RefusalFields(request, decision)};
}

std::optional<NextStep> GatewayCore::YieldToOthers(
    AdmittedRequest& admitted, const UpstreamEntry& best,
    const SelectionCriteria& criteria, TimePoint now) {
  const std::int64_t send = admitted.sends + 1;
  if (!this->overload.Enabled() || admitted.overload.admitted == send) {
    return std::nullopt;
  }
  OverloadRequest request =
      DescribeArrival(*admitted.route, admitted.organisation, admitted.service,
                      admitted.request);
  request.time_left = admitted.deadline - now;
  request.waited =
      now - (admitted.started ? admitted.last_event_at : admitted.arrived);
  request.first_attempt = send == 1;
  request.offered_before = admitted.overload.offered == send;
  const OverloadDecision decision = this->overload.Decide(
      request, this->selector.Forecast(best, criteria, now), now);
  admitted.overload.offered = send;
  if (decision.kind == OverloadDecision::Kind::kWait) {
    return PermitWait{decision.wait_until};
  }
  if (decision.kind == OverloadDecision::Kind::kAdmit) {
    admitted.overload.admitted = send;
    return std::nullopt;
  }
  if (admitted.possible_runs > 0) {
    return Refusal{ErrorKind::kUpstreamFailed, {}};
  }
  return ShedRefusal(request, decision);
}

}  // namespace hornbeamspool::policy
