// The gateway daemon: a router whose routes, upstreams and budgets are in the
// platform's store. It runs on one thread, because a VM has a quarter of a core
// and passing an event between threads costs two system calls.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "settings/gateway_settings.h"

namespace hornbeamspool::gateway {

class Gateway {
 public:
  // Reads the settings again; empty when they can't be read.
  using Reload = std::function<std::optional<settings::GatewaySettings>()>;

  Gateway(settings::GatewaySettings settings, Reload reload);
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;
  ~Gateway();

  // Serves until SIGTERM or SIGINT, then stops gracefully. Returns an error
  // message when it could not start, else an empty string.
  std::string Run();

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace hornbeamspool::gateway
