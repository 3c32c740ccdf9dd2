#include "transport/tunnel_message.h"

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

// "TUN1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x54554e31;

}  // namespace

template <typename Archive>
void save(Archive& archive, const TunnelMessage& message) {
  TunnelMessage copy = message;
  archive(ShortString{&copy.sender}, ShortString{&copy.address});
}

template <typename Archive>
void load(Archive& archive, TunnelMessage& message) {
  archive(ShortString{&message.sender}, ShortString{&message.address});
}

std::string EncodeTunnelMessage(const TunnelMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<TunnelMessage> DecodeTunnelMessage(std::string_view bytes) {
  return DecodeDatagram<TunnelMessage>(kMagic, bytes);
}

}  // namespace hornbeamspool::transport
