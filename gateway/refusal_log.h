// Fields of the log lines of refused requests.
#pragma once

#include <string>

#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

// Names the first parts of the request's prompt; empty when it has none.
// Begins with a space.
std::string PartsField(const policy::GatewayRequest& request);

// The route, the sends and the organisation of a refused request, and the
// figures of the organisation's budget if they decided. Begins with a space.
std::string AdmittedFields(const policy::AdmittedRequest& admitted,
                           const policy::Refusal& refusal,
                           const policy::BudgetManager& budgets);

}  // namespace hornbeamspool::gateway
