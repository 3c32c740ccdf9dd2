// The components of one gateway, for access to each other. All of them run on
// one thread.
#pragma once

#include <boost/asio/io_context.hpp>

namespace hornbeamspool {
class Metrics;
}
namespace hornbeamspool::http {
class Client;
}
namespace hornbeamspool::policy {
class GatewayCore;
}

namespace hornbeamspool::gateway {

class BackoffSync;
class EventLog;
class BudgetSync;
class CrashWatch;
class PeerChannel;
class PeerTunnels;
class PermitBroker;
class TokenBroker;
class WarmupSync;

// Copied by the components, which must not outlive what the pointers refer to.
struct Context {
  boost::asio::io_context* io = nullptr;
  policy::GatewayCore* core = nullptr;
  http::Client* client = nullptr;
  BudgetSync* budget_sync = nullptr;
  TokenBroker* token_broker = nullptr;
  PeerChannel* peers = nullptr;
  PeerTunnels* tunnels = nullptr;
  PermitBroker* permits = nullptr;
  CrashWatch* crashes = nullptr;
  BackoffSync* backoff = nullptr;
  WarmupSync* warmup = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace hornbeamspool::gateway
