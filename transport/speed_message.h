// Encoding of what VMs tell each other about the load and the speed of
// upstreams. Sent by UDP, encoded with cereal.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy/balancing/speed_message.h"

namespace hornbeamspool::transport {

std::string EncodeSpeedMessage(const policy::SpeedMessage& message);

// Empty when the bytes are not a valid speed message. Notices with impossible
// values are left out.
std::optional<policy::SpeedMessage> DecodeSpeedMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
