// Relays model requests: one admission, one or more tries, one whole answer.
#pragma once

#include <boost/asio/awaitable.hpp>

#include "hornbeamspool/serve_context.h"
#include "http/exchange.h"

namespace hornbeamspool {

// Answers POST /v1/chat/completions.
boost::asio::awaitable<void> RelayModel(ServeContext& context,
                                        http::Exchange& exchange);

}  // namespace hornbeamspool
