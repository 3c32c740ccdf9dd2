// Serves one caller's request: has it admitted, sends it to upstreams until one
// answers, and relays the answer.
#pragma once

#include "gateway/context.h"
#include "http/exchange.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::policy {
struct Refusal;
}

namespace hornbeamspool::gateway {

// Answers `exchange` or aborts it. `context` and `exchange` must outlive the
// task.
http::Task<void> ServeRequest(const Context& context, http::Exchange& exchange);

// The response to a request that the gateway refuses itself.
http::Response RefusalResponse(const policy::Refusal& refusal);

}  // namespace hornbeamspool::gateway
