// Tells other gateways that an engine was sent a long prompt to read. Sent by
// UDP, encoded with cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

struct PromptMessage {
  std::string upstream;
  std::int64_t prefill_tokens = 0;
};

std::string EncodePromptMessage(const PromptMessage& message);

// Empty when the bytes are no such message.
std::optional<PromptMessage> DecodePromptMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
