// Opens the listeners of stand-ins that speak on plain sockets.
#pragma once

#include <cstdint>
#include <string_view>

#include "http/task.h"

namespace hornbeamspool::standin {

// Listens on `address`, an `ip:port`. Returns the port, or 0 on failure.
std::uint16_t Listen(http::TcpAcceptor& acceptor, std::string_view address);

}  // namespace hornbeamspool::standin
