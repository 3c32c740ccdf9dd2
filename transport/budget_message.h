// Messages by which gateways move prepaid tokens between them: an ask, and the
// gift that answers it or that hands tokens back. Sent by UDP, encoded with
// cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

enum class BudgetMessageKind : std::uint8_t { kAsk, kGift, kCount };

// Why a gift holds nothing.
enum class GiftNote : std::uint8_t {
  kGiven,
  kHeld,         // other VMs hold what is left
  kExhausted,    // nothing is left
  kUnavailable,  // the giver can't reach the store, and has nothing
  kSoon,         // the giver has some that its pace will allow within seconds
  kCount
};

struct BudgetMessage {
  BudgetMessageKind kind = BudgetMessageKind::kAsk;
  std::uint64_t id = 0;  // of the ask, repeated in its gift; random
  std::string sender;    // VM
  std::uint64_t sender_incarnation = 0;
  // Of the process that a gift is meant for: its successor, which can't know
  // what of it was spent, does not take it.
  std::uint64_t receiver_incarnation = 0;
  std::string organisation;
  std::int64_t needed = 0;  // of an ask: less is of no use
  std::int64_t amount = 0;  // of an ask: wanted; of a gift: given
  GiftNote note = GiftNote::kGiven;
};

std::string EncodeBudgetMessage(const BudgetMessage& message);

// Empty when the bytes are no such message.
std::optional<BudgetMessage> DecodeBudgetMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
