#include "transport/heartbeat.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <exception>
#include <sstream>

namespace hornbeamspool::coordination {

template <typename Archive>
void serialize(Archive& archive, HybridTime& time) {
  archive(time.wall_us, time.counter);
}

template <typename Archive>
void serialize(Archive& archive, MemberReport& report) {
  archive(report.name, report.availability_zone, report.peer_address,
          report.operator_address, report.incarnation, report.beat,
          report.config_epoch, report.leaving);
}

}  // namespace hornbeamspool::coordination

namespace hornbeamspool::transport {
namespace {

// First bytes of every heartbeat; grows with the encoding.
constexpr std::uint32_t kFormat = 0x48423031;

}  // namespace

template <typename Archive>
void serialize(Archive& archive, Heartbeat& heartbeat) {
  archive(heartbeat.sent_at, heartbeat.sender, heartbeat.sample);
}

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(kFormat, heartbeat);
  }
  return out.str();
}

std::optional<Heartbeat> DecodeHeartbeat(std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t format = 0;
    archive(format);
    if (format != kFormat) return std::nullopt;
    Heartbeat heartbeat;
    archive(heartbeat);
    return heartbeat;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hornbeamspool::transport
