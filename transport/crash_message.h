// Tells the other gateways which requests were in flight at an upstream when it
// crashed. Sent by UDP, encoded with cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::transport {

struct CrashMessage {
  std::string instance_id;                  // of the upstream that crashed
  std::vector<std::uint64_t> fingerprints;  // of the requests in flight
};

// More fingerprints do not fit in a datagram.
inline constexpr std::size_t kMaxFingerprintsPerMessage = 128;

std::string EncodeCrashMessage(const CrashMessage& message);

// Empty when the bytes are not a valid crash message.
std::optional<CrashMessage> DecodeCrashMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
