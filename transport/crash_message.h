// Tells the other gateways which requests an upstream had in hand when it went
// down. Sent by UDP, encoded with cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::transport {

struct CrashMessage {
  std::string upstream;
  std::vector<std::uint64_t> fingerprints;
};

// Fingerprints of one message; more do not fit a datagram.
inline constexpr std::size_t kMostFingerprints = 128;

std::string EncodeCrashMessage(const CrashMessage& message);

// Empty when the bytes are no such message.
std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
