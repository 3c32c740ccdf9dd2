#include "transport/prompt_message.h"

#include "transport/datagram.h"
#include "transport/short_text.h"

namespace hornbeamspool::transport {
namespace {

// First bytes of every message ("PMG1"); the last one is the version of the
// encoding.
constexpr std::uint32_t kMagic = 0x504d4731;

// No engine holds this many tokens.
constexpr std::int64_t kMaxPrefillTokens = 100'000'000;

}  // namespace

template <typename Archive>
void save(Archive& archive, const PromptMessage& message) {
  PromptMessage copy = message;
  archive(ShortText{&copy.upstream}, message.unread_tokens);
}

template <typename Archive>
void load(Archive& archive, PromptMessage& message) {
  archive(ShortText{&message.upstream}, message.unread_tokens);
}

std::string EncodePromptMessage(const PromptMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<PromptMessage> DecodePromptMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<PromptMessage>(kMagic, bytes);
  const bool valid = message && message->unread_tokens > 0 &&
                     message->unread_tokens <= kMaxPrefillTokens;
  return valid ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
