// Relays model requests: one admission, then attempts on one upstream after
// another until one of them answers.
#pragma once

#include "hornbeamspool/handler_context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool {

// Handles POST /v1/chat/completions.
http::Task<void> RelayModel(HandlerContext& context, http::Exchange& exchange);

}  // namespace hornbeamspool
