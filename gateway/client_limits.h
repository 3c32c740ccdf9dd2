// Limits of what callers may use of a VM's memory and descriptors.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>

#include "http/server.h"
#include "policy/gateway_config.h"

namespace hornbeamspool::http {
class ClientMemory;
}
namespace hornbeamspool::settings {
struct GatewaySettings;
}

namespace hornbeamspool::gateway {

struct Context;

// Of the server for callers.
http::ServerLimits CallerServerLimits(const settings::GatewaySettings& settings,
                                      const policy::CallerLimits& limits);

// Of the servers for the load balancer and for metrics.
http::ServerLimits InternalServerLimits();

std::shared_ptr<http::ClientMemory> MakeClientMemory(
    boost::asio::io_context& io, const settings::GatewaySettings& settings);

// Tunnels that a VM opens for its peers at the same time.
std::size_t MaxTunnels(const settings::GatewaySettings& settings);

// Names both settings when a body at the limit doesn't fit into the memory for
// callers; empty when it does.
std::string FindContradiction(const settings::GatewaySettings& settings,
                              const policy::CallerLimits& limits);

// Counts and logs each rejection of a client.
http::RejectObserver MakeRejectObserver(const Context& context);

}  // namespace hornbeamspool::gateway
