// Serves one caller's request: has it admitted, sends it to upstreams until one
// answers, and relays the answer.
#pragma once

#include "gateway/context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool::gateway {

// Answers `exchange` or aborts it. `context` and `exchange` must outlive the
// task.
http::Task<void> ServeRequest(const Context& context, http::Exchange& exchange);

}  // namespace hornbeamspool::gateway
