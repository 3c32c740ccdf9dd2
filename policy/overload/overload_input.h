// Describes a gateway's requests for the decisions on overload, and their
// refusals for callers and logs.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "coordination/time.h"
#include "policy/error_kind.h"
#include "policy/overload/overload_request.h"

namespace hornbeamspool::policy {

class AdmissionController;
class RouteTable;
struct GatewayOrganisation;
struct GatewayRequest;
struct Route;
struct Service;

// The organisation's priority, or the route's, 0 to 9. `organisation` may be
// null.
std::int64_t PriorityOf(const Route& route,
                        const GatewayOrganisation* organisation);

// A request that has just arrived. `organisation` and `service` may be null.
// The result refers to the arguments.
OverloadRequest DescribeArrival(const Route& route,
                                const GatewayOrganisation* organisation,
                                const Service* service,
                                const GatewayRequest& request);

ErrorKind ErrorKindOf(OverloadReason reason);

// Log fields that name a request's route and organisation.
std::string NameFields(const OverloadRequest& request);
// Log fields of a refusal: priority and the shortage that decided it.
std::string RefusalFields(const OverloadRequest& request,
                          const OverloadDecision& decision);

// A refusal that the head of a request suffices for; `request` has no body, but
// its announced length. Empty for requests that are admitted, or that the
// admission refuses for another reason.
struct HeadRefusal {
  ErrorKind kind = ErrorKind::kVmOverloaded;
  coordination::Duration retry_after{};
  std::string fields;
};
std::optional<HeadRefusal> CheckHead(const RouteTable& table,
                                     AdmissionController& controller,
                                     const GatewayRequest& request,
                                     coordination::Duration link_delay,
                                     coordination::TimePoint now);

}  // namespace hornbeamspool::policy
