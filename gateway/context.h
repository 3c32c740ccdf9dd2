// What the parts of a gateway share. All of it lives on one thread.
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

class EventLog;
class BudgetSync;
class CrashWatch;
class PeerChannel;
class TokenBroker;

struct Context {
  boost::asio::io_context* io = nullptr;
  policy::GatewayCore* core = nullptr;
  http::Client* client = nullptr;
  BudgetSync* budget_sync = nullptr;
  TokenBroker* token_broker = nullptr;
  PeerChannel* peers = nullptr;
  CrashWatch* crashes = nullptr;
  EventLog* log = nullptr;
  Metrics* metrics = nullptr;
};

}  // namespace hornbeamspool::gateway
