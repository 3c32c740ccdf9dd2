#include "transport/prefill_message.h"

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

// "PMG1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x504d4731;

// No engine holds this many tokens.
constexpr std::int64_t kMaxPrefillTokens = 100'000'000;

}  // namespace

template <typename Archive>
void save(Archive& archive, const PrefillMessage& message) {
  PrefillMessage copy = message;
  archive(ShortString{&copy.upstream}, message.prefill_tokens);
}

template <typename Archive>
void load(Archive& archive, PrefillMessage& message) {
  archive(ShortString{&message.upstream}, message.prefill_tokens);
}

std::string EncodePrefillMessage(const PrefillMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<PrefillMessage> DecodePrefillMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<PrefillMessage>(kMagic, bytes);
  const bool valid = message && message->prefill_tokens > 0 &&
                     message->prefill_tokens <= kMaxPrefillTokens;
  return valid ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
