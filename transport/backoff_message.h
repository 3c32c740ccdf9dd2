// Tells other gateways which upstreams leave, or have asked a VM for a pause.
// Sent by UDP, encoded with cereal.
#pragma once

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/upstream_backoff.h"

namespace hornbeamspool::transport {

struct BackoffMessage {
  std::string sender;  // VM
  bool query = false;  // asks for what the receiver knows
  std::vector<policy::UpstreamBackoff::Notice> notices;
};

// As many messages as the notices need; one when there are none.
std::vector<std::string> EncodeBackoffMessages(
    std::string_view sender, bool query,
    std::span<const policy::UpstreamBackoff::Notice> notices);

// Empty when the bytes are not a valid message.
std::optional<BackoffMessage> DecodeBackoffMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
