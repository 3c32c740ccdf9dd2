// Relays calls of plain services. A call that may not be repeated is sent at
// most once, after its intent is committed.
#pragma once

#include "hornbeamspool/handler_context.h"
#include "http/exchange.h"
#include "http/task.h"

namespace hornbeamspool {

// Answers every path that is not the system's own.
http::Task<void> RelayPlain(HandlerContext& context, http::Exchange& exchange);

}  // namespace hornbeamspool
