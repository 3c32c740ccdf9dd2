// Accepts requests for tunnels and passes bytes on between clients and the
// servers that they ask for.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "coordination/time.h"
#include "http/background_task.h"
#include "http/tunnel.h"

namespace hornbeamspool::http {

class TunnelServer {
 public:
  struct Limits {
    std::size_t max_tunnels = 256;
    // To receive a request, and to connect to its server.
    coordination::Duration open_timeout = std::chrono::milliseconds(500);
    // A tunnel without a byte for this long is closed.
    coordination::Duration idle_timeout = std::chrono::seconds(120);
  };
  // Returns the address to connect to, or why there is no tunnel.
  using Authorize = std::function<std::variant<std::string, TunnelStatus>(
      std::string_view request)>;

  TunnelServer(boost::asio::io_context& io, Limits limits, Authorize authorize,
               ExceptionHandler on_exception);
  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;
  ~TunnelServer();

  // Starts to accept connections on `address`, an `ip:port`. Port 0 chooses a
  // free one. Returns the port, or 0 when the server can't listen there.
  std::uint16_t Listen(std::string_view address);
  // Number of open tunnels.
  std::size_t Tunnels() const;

  // State shared with the tunnels; defined in tunnel_server.cc.
  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace hornbeamspool::http
