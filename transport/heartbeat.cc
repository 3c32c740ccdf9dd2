#include "transport/heartbeat.h"

#include <cereal/cereal.hpp>

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::coordination {

template <typename Archive>
void serialize(Archive& archive, HybridTime& time) {
  archive(time.wall_us, time.counter);
}

template <typename Archive>
void serialize(Archive& archive, MemberReport& report) {
  using transport::ShortString;
  // Sent as a byte: a received byte other than 0 or 1 would not be a valid
  // bool.
  std::uint8_t leaving = report.leaving ? 1 : 0;
  archive(ShortString{&report.name}, ShortString{&report.availability_zone},
          ShortString{&report.peer_address},
          ShortString{&report.operator_address}, report.incarnation,
          report.beat, report.config_epoch, leaving);
  report.leaving = leaving != 0;
}

}  // namespace hornbeamspool::coordination

namespace hornbeamspool::transport {
namespace {

// "HB01"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x48423031;

}  // namespace

template <typename Archive>
void save(Archive& archive, const Heartbeat& heartbeat) {
  const auto count = static_cast<std::uint8_t>(heartbeat.sample.size());
  archive(heartbeat.sent_at, heartbeat.sender, count);
  for (const auto& report : heartbeat.sample) archive(report);
}

template <typename Archive>
void load(Archive& archive, Heartbeat& heartbeat) {
  std::uint8_t count = 0;
  archive(heartbeat.sent_at, heartbeat.sender, count);
  for (std::uint8_t i = 0; i < count; ++i) {
    archive(heartbeat.sample.emplace_back());
  }
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  return EncodeDatagram(kMagic, heartbeat);
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  return DecodeDatagram<Heartbeat>(kMagic, bytes);
}

}  // namespace hornbeamspool::transport
