// Serves one caller's request: asks the decisions, sends it to upstreams until
// one answers, and relays the answer.
#pragma once

#include "gateway/context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool::gateway {

http::Task<void> ServeRequest(const Context& context, http::Exchange& exchange);

}  // namespace hornbeamspool::gateway
