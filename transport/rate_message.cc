#include "transport/rate_message.h"

#include <cmath>

#include "transport/datagram.h"
#include "transport/flag.h"
#include "transport/short_string.h"

namespace hornbeamspool::policy {

template <typename Archive>
void save(Archive& archive, const RateMessage& message) {
  RateMessage copy = message;
  archive(static_cast<std::uint8_t>(message.kind), message.id,
          transport::ShortString{&copy.sender},
          transport::ShortString{&copy.instance}, message.limited,
          message.per_second, message.age_ms, message.failover, message.granted,
          message.next_permit_ms, message.backlog_ms);
}

template <typename Archive>
void load(Archive& archive, RateMessage& message) {
  using transport::Flag;
  std::uint8_t kind = 0;
  archive(kind, message.id, transport::ShortString{&message.sender},
          transport::ShortString{&message.instance}, Flag{&message.limited},
          message.per_second, message.age_ms, Flag{&message.failover},
          Flag{&message.granted}, message.next_permit_ms, message.backlog_ms);
  message.kind = static_cast<RateMessageKind>(kind);
}

}  // namespace hornbeamspool::policy

namespace hornbeamspool::transport {
namespace {

using policy::RateMessage;
using policy::RateMessageKind;

// "RTM1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x52544d31;

constexpr std::int64_t kMaxMilliseconds = 86'400'000;  // a day

bool IsTime(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= kMaxMilliseconds;
}

}  // namespace

std::string EncodeRateMessage(const RateMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<RateMessage> DecodeRateMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<RateMessage>(kMagic, bytes);
  const bool valid = message && message->kind < RateMessageKind::kCount &&
                     std::isfinite(message->per_second) &&
                     message->per_second >= 0 && IsTime(message->age_ms) &&
                     IsTime(message->next_permit_ms) &&
                     IsTime(message->backlog_ms);
  return valid ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
