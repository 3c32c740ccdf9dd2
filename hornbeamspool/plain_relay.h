// Relays calls of plain services. A call that may not be repeated is sent at
// most once, after its intent is committed.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "hornbeamspool/serve_context.h"
#include "http/exchange.h"

namespace hornbeamspool {

// Answers every path that is not the system's own.
boost::asio::awaitable<void> RelayPlain(ServeContext& context,
                                        http::Exchange& exchange);

}  // namespace hornbeamspool
