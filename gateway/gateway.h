// The gateway daemon: a router that takes its routes, upstreams and budgets
// from the platform's store. One thread: a VM has a quarter of a core, and
// handing an event from thread to thread costs two system calls.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "settings/gateway_settings.h"

namespace hornbeamspool::gateway {

class Gateway {
 public:
  // Reads the settings anew; empty when they can't be read.
  using Reload = std::function<std::optional<settings::GatewaySettings>()>;

  Gateway(settings::GatewaySettings settings, Reload reload);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  // Serves until SIGTERM or SIGINT, then finishes what is in progress. Returns
  // a fault's text when it could not start; empty after a stop.
  std::string Run();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace hornbeamspool::gateway
