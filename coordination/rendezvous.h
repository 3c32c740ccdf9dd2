// Rendezvous hashing: every process that knows the same members picks the same
// owner of a key, and a change of members moves only the keys it must.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hornbeamspool::coordination {

// 64-bit hash of `bytes`, the same in every process and on every machine.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Index of the member that owns `key`; empty when there is no member.
std::optional<std::size_t> RendezvousOwner(
    std::string_view key, std::span<const std::string_view> members);

}  // namespace hornbeamspool::coordination
