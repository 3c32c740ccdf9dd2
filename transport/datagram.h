// Datagrams between our processes: a number that names the format, and then the
// message, encoded with cereal.
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

// Largest datagram sent; fits an Ethernet frame.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

template <typename Message>
std::string EncodeDatagram(std::uint32_t format, const Message& message) {
  std::ostringstream out;
  {
    cereal::PortableBinaryOutputArchive archive(out);
    archive(format, message);
  }
  return out.str();
}

// Empty when the bytes are no message of this format.
template <typename Message>
std::optional<Message> DecodeDatagram(std::uint32_t format,
                                      std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t found = 0;
    archive(found);
    if (found != format) return std::nullopt;
    Message message;
    archive(message);
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hornbeamspool::transport
