// Message authentication codes (HMAC-SHA256) of datagrams, keyed by a secret
// that all peers share, and digests of API keys.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

// Returns the payload followed by its 32-byte MAC.
std::string AppendMac(std::string_view key, std::string_view payload);

// Returns the payload, a view into `datagram`; empty when the MAC does not
// match.
std::optional<std::string_view> VerifyMac(std::string_view key,
                                          std::string_view datagram);

// SHA-256 of `text` in lower-case hex.
std::string Sha256Hex(std::string_view text);

}  // namespace hornbeamspool::transport
