// Tells other gateways that an engine was sent a long prompt, so that they
// count its prefill (the processing of the prompt) in the engine's load. Sent
// by UDP, encoded with cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

struct PrefillMessage {
  std::string upstream;
  std::int64_t prefill_tokens = 0;  // of the prompt, not in the engine's cache
};

std::string EncodePrefillMessage(const PrefillMessage& message);

// Empty when the bytes are not a valid prefill message.
std::optional<PrefillMessage> DecodePrefillMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
