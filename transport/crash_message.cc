#include "transport/crash_message.h"

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

// "CRM1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x43524d31;

}  // namespace

template <typename Archive>
void save(Archive& archive, const CrashMessage& message) {
  CrashMessage copy = message;
  archive(ShortString{&copy.instance_id},
          static_cast<std::uint16_t>(message.fingerprints.size()));
  for (const std::uint64_t fingerprint : message.fingerprints) {
    archive(fingerprint);
  }
}

template <typename Archive>
void load(Archive& archive, CrashMessage& message) {
  std::uint16_t count = 0;
  archive(ShortString{&message.instance_id}, count);
  for (std::uint16_t i = 0; i < count; ++i) {
    std::uint64_t fingerprint = 0;
    archive(fingerprint);
    message.fingerprints.push_back(fingerprint);
  }
}

std::string EncodeCrashMessage(const CrashMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<CrashMessage>(kMagic, bytes);
  const bool valid =
      message && message->fingerprints.size() <= kMaxFingerprintsPerMessage;
  return valid ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
