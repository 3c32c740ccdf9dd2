// Authentication of datagrams by a key that all peers share (HMAC-SHA256), and
// digests of callers' keys.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

// The payload followed by its code.
std::string Seal(std::string_view key, std::string_view payload);

// The payload; empty when the code does not match.
std::optional<std::string_view> Unseal(std::string_view key,
                                       std::string_view sealed);

// SHA-256 in lower-case hex.
std::string Sha256Hex(std::string_view text);

}  // namespace hornbeamspool::transport
