// Encoding of the datagrams between processes of a fleet: a magic number that
// identifies the type of the message and the version of its encoding, then the
// message, all in cereal's portable binary format.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

// Largest datagram sent; fits in an Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

template <typename Message>
std::string EncodeDatagram(std::uint32_t magic, const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(magic, message);
  }
  return out.str();
}

// Empty when the bytes are longer than a datagram, have another magic number or
// are malformed.
template <typename Message>
std::optional<Message> DecodeDatagram(std::uint32_t magic,
                                      std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t found = 0;
    archive(found);
    if (found != magic) return std::nullopt;
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hornbeamspool::transport
