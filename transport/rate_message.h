// Encoding of the messages about upstreams' rate limits. Sent by UDP, encoded
// with cereal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/rate_message.h"

namespace hornbeamspool::transport {

std::string EncodeRateMessage(const policy::RateMessage& message);

// Empty when the bytes are not a valid rate message.
std::optional<policy::RateMessage> DecodeRateMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
