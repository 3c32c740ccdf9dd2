// Relays calls to plain services. A call that is not idempotent (an order) is
// sent at most once, after its intent is committed to the store.
#pragma once

#include "hornbeamspool/handler_context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool {

// Handles every path that the router does not serve itself.
http::Task<void> RelayPlain(HandlerContext& context, http::Exchange& exchange);

}  // namespace hornbeamspool
