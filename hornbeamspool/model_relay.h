// Relays model requests: one admission, one or more tries, one whole answer.
#pragma once

#include "hornbeamspool/handler_context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool {

// Answers POST /v1/chat/completions.
http::Task<void> RelayModel(HandlerContext& context, http::Exchange& exchange);

}  // namespace hornbeamspool
