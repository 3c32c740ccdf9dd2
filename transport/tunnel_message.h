// Asks another gateway for a tunnel to an upstream. Sent by TCP, encoded with
// cereal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

struct TunnelMessage {
  std::string sender;   // VM
  std::string address;  // of the upstream, as ip:port
};

std::string EncodeTunnelMessage(const TunnelMessage& message);

// Empty when the bytes are not a valid tunnel message.
std::optional<TunnelMessage> DecodeTunnelMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
