// A connection to a server through another host, which passes bytes on in both
// directions.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace hornbeamspool::http {

// The host's reply to a request for a tunnel: one byte.
enum class TunnelStatus : std::uint8_t {
  kConnected,    // bytes are passed on from here on
  kRefused,      // the server refused the connection
  kUnreachable,  // the host could not connect to the server in time
  kUnavailable,  // the host opens no tunnel for this client or at present
  kWithheld,     // the host may send nothing to the server at present
  kCount
};

// A request for a tunnel begins with its length, as two bytes in network order.
inline constexpr std::size_t kMaxTunnelRequestBytes = 1024;

struct Tunnel {
  std::string address;  // of the host, as ip:port
  // Makes the request for a tunnel to `target`, without its length.
  std::function<std::string(std::string_view target)> make_request;
};

}  // namespace hornbeamspool::http
