// Rendezvous hashing: every process that knows the same members picks the same
// owner of a key. Removing a member remaps only the keys that it owned; adding
// a member remaps only the keys that the new member owns.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace hornbeamspool::coordination {

// 64-bit hash of `bytes`, equal in every process and on every machine.
std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed = 0);

// Index in `members` of the owner of `key`; empty if there are no members.
std::optional<std::size_t> RendezvousOwner(
    std::string_view key, std::span<const std::string_view> members);

}  // namespace hornbeamspool::coordination
