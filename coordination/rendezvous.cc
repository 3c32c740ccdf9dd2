#include "coordination/rendezvous.h"

#include <xxhash.h>

namespace hornbeamspool::coordination {

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::optional<std::size_t> RendezvousOwner(
    std::string_view key, std::span<const std::string_view> members) {
  std::optional<std::size_t> owner;
  std::uint64_t best = 0;
  const std::uint64_t key_hash = StableHash(key);
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::uint64_t score = StableHash(members[i], key_hash);
    const bool better = !owner || score > best ||
                        (score == best && members[i] < members[*owner]);
    if (!better) continue;
    owner = i;
    best = score;
  }
  return owner;
}

}  // namespace hornbeamspool::coordination
