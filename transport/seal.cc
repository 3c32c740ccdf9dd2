#include "transport/seal.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <cstddef>

namespace hornbeamspool::transport {
namespace {

constexpr std::size_t kCodeBytes = 32;
using Code = std::array<unsigned char, kCodeBytes>;

const unsigned char* Bytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());
}

Code CodeOf(std::string_view key, std::string_view payload) {
  Code code{};
  unsigned length = kCodeBytes;
  HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), Bytes(payload),
       payload.size(), code.data(), &length);
  return code;
}

}  // namespace

std::string Seal(std::string_view key, std::string_view payload) {
  const Code code = CodeOf(key, payload);
  std::string sealed(payload);
  sealed.append(reinterpret_cast<const char*>(code.data()), code.size());
  return sealed;
}

std::optional<std::string_view> Unseal(std::string_view key,
                                       std::string_view sealed) {
  if (sealed.size() < kCodeBytes) return std::nullopt;
  const std::string_view payload = sealed.substr(0, sealed.size() - kCodeBytes);
  const std::string_view carried = sealed.substr(payload.size());
  const Code expected = CodeOf(key, payload);
  if (CRYPTO_memcmp(expected.data(), carried.data(), kCodeBytes) != 0) {
    return std::nullopt;
  }
  return payload;
}

std::string Sha256Hex(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  Code digest{};
  unsigned length = kCodeBytes;
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
