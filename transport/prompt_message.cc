#include "transport/prompt_message.h"

#include "transport/datagram.h"
#include "transport/short_text.h"

namespace hornbeamspool::transport {
namespace {

// First bytes of every message; grows with the encoding.
constexpr std::uint32_t kFormat = 0x504d4731;

// More than any engine holds.
constexpr std::int64_t kMostTokens = 100'000'000;

}  // namespace

template <typename Archive>
void save(Archive& archive, const PromptMessage& message) {
  PromptMessage copy = message;
  archive(ShortText{&copy.upstream}, message.prefill_tokens);
}

template <typename Archive>
void load(Archive& archive, PromptMessage& message) {
  archive(ShortText{&message.upstream}, message.prefill_tokens);
}

std::string EncodePromptMessage(const PromptMessage& message) {
  return EncodeDatagram(kFormat, message);
}

std::optional<PromptMessage> DecodePromptMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<PromptMessage>(kFormat, bytes);
  const bool sound = message && message->prefill_tokens > 0 &&
                     message->prefill_tokens <= kMostTokens;
  return sound ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
