#include "policy/overload/overload_input.h"

#include <algorithm>

#include "policy/event.h"
#include "policy/gateway_config.h"
#include "policy/gateway_request.h"
#include "policy/overload/admission_controller.h"
#include "policy/route_table.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr std::int64_t kMaxPriority = 9;  // the least urgent

}  // namespace

std::int64_t PriorityOf(const Route& route,
                        const GatewayOrganisation* organisation) {
  const std::int64_t priority = organisation && organisation->priority
                                    ? *organisation->priority
                                    : route.priority;
  return std::clamp<std::int64_t>(priority, 0, kMaxPriority);
}

OverloadRequest DescribeArrival(const Route& route,
                                const GatewayOrganisation* organisation,
                                const Service* service,
                                const GatewayRequest& request) {
  OverloadRequest described;
  described.id = request.id;
  described.route = route.name;
  if (organisation) described.organisation = organisation->name;
  if (service) described.service = service->name;
  described.priority = PriorityOf(route, organisation);
  described.time_left = std::min(request.caller_timeout, route.timeout);
  described.target_latency = route.target_latency;
  std::int64_t output_tokens = 0;
  if (request.demand) {
    output_tokens = request.demand->max_output_tokens;
    described.engine_work =
        EngineWork(request.demand->prompt_tokens, output_tokens);
  }
  const std::int64_t per_event =
      service && service->engine ? service->engine->max_tokens_per_event : 1;
  described.link_bytes =
      LinkBytes(request.body_bytes, output_tokens, per_event);
  return described;
}

ErrorKind ErrorKindOf(OverloadReason reason) {
  switch (reason) {
    case OverloadReason::kDeadline:
      return ErrorKind::kDeadlineUnreachable;
    case OverloadReason::kPriority:
      return ErrorKind::kShedByPriority;
    case OverloadReason::kFairShare:
      return ErrorKind::kOverFairShare;
    case OverloadReason::kLinkDelay:
      return ErrorKind::kOverloaded;
    default:
      return ErrorKind::kVmOverloaded;
  }
}

std::string NameFields(const OverloadRequest& request) {
  return KeyValue("route", request.route) + ' ' +
         KeyValue("organisation", request.organisation);
}

std::string RefusalFields(const OverloadRequest& request,
                          const OverloadDecision& decision) {
  constexpr double kPercent = 100;
  std::string fields = KeyValue("priority", request.priority);
  fields += ' ' + KeyValue("first_attempt",
                           std::int64_t{request.first_attempt ? 1 : 0});
  fields += ' ' + KeyValue("time_left_ms",
                           coordination::Milliseconds(request.time_left));
  fields += ' ' + KeyValue("shed_percent",
                           static_cast<std::int64_t>(kPercent * decision.shed));
  fields += ' ' + KeyValue("retry_after_ms",
                           coordination::Milliseconds(decision.retry_after));
  return fields;
}

std::optional<HeadRefusal> CheckHead(const RouteTable& table,
                                     AdmissionController& controller,
                                     const GatewayRequest& request,
                                     Duration link_delay, TimePoint now) {
  const Route* route = table.FindRoute(request.host, request.path);
  if (route == nullptr || route->shares.empty()) return std::nullopt;
  const GatewayOrganisation* organisation = nullptr;
  if (table.NeedsKeys() && !route->is_public) {
    organisation = table.FindOrganisation(request.key);
    if (organisation == nullptr) return std::nullopt;
  }
  const Service* service = table.FindService(route->shares.front().service);
  const OverloadRequest described =
      DescribeArrival(*route, organisation, service, request);
  const OverloadDecision decision =
      controller.DecideAtHead(described, link_delay, now);
  if (decision.kind != OverloadDecision::Kind::kRefuse) return std::nullopt;
  return HeadRefusal{
      ErrorKindOf(decision.reason), decision.retry_after,
      NameFields(described) + ' ' + RefusalFields(described, decision)};
}

}  // namespace hornbeamspool::policy
