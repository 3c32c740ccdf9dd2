#include "transport/mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstddef>

namespace hornbeamspool::transport {
namespace {

constexpr std::size_t kSha256Bytes = 32;
using Digest = std::array<unsigned char, kSha256Bytes>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

Digest Hmac(std::string_view key, std::string_view payload) {
  Digest mac{};
  unsigned length = kSha256Bytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(payload),
       payload.size(), mac.data(), &length);
  return mac;
}

}  // namespace

std::string AppendMac(std::string_view key, std::string_view payload) {
  const Digest mac = Hmac(key, payload);
  std::string datagram(payload);
  datagram.append(reinterpret_cast<const char*>(mac.data()), mac.size());
  return datagram;
}

std::optional<std::string_view> VerifyMac(std::string_view key,
                                          std::string_view datagram) {
  if (datagram.size() < kSha256Bytes) return std::nullopt;
  const std::string_view payload =
      datagram.substr(0, datagram.size() - kSha256Bytes);
  const std::string_view received = datagram.substr(payload.size());
  const Digest expected = Hmac(key, payload);
  if (CRYPTO_memcmp(expected.data(), received.data(), kSha256Bytes) != 0) {
    return std::nullopt;
  }
  return payload;
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  Digest digest{};
  unsigned length = kSha256Bytes;
  EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  std::string hex;
  for (const unsigned char byte : digest) {
    hex += kDigits[byte >> 4U];
    hex += kDigits[byte & 0xfU];
  }
  return hex;
}

}  // namespace hornbeamspool::transport
