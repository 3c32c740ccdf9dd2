// Messages that transfer an organisation's prepaid tokens between VMs:
// a transfer request and the transfer that answers it. Transfers are also sent
// unrequested, to hand tokens over or back. Sent by UDP, encoded with cereal.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::transport {

// Sent as a number: keep the order.
enum class BudgetMessageKind : std::uint8_t {
  kTransferRequest,
  kTransfer,
  kCount
};

// Any value but kTransferred is the reason why a transfer is empty. Sent as a
// number: keep the order.
enum class TransferStatus : std::uint8_t {
  kTransferred,
  kHeldElsewhere,  // other VMs hold the remaining tokens
  kExhausted,      // the budget has no tokens left
  kUnavailable,    // the sender can't reach the store and has no tokens
  kRateLimited,    // the sender has tokens that its rate limit will release
                   // within seconds
  kCount
};

struct BudgetMessage {
  BudgetMessageKind kind = BudgetMessageKind::kTransferRequest;
  // Random; the transfer that answers a request carries the request's.
  std::uint64_t id = 0;
  std::string sender;  // VM name
  std::uint64_t sender_incarnation = 0;
  // Process that a transfer is meant for. A process that replaced it drops the
  // transfer, because it can't know how much of it was spent.
  std::uint64_t receiver_incarnation = 0;
  std::string organisation;
  // Of a request: the fewest tokens that are of use.
  std::int64_t min_amount = 0;
  // Tokens that a request asks for, or that a transfer carries.
  std::int64_t amount = 0;
  TransferStatus status = TransferStatus::kTransferred;
};

std::string EncodeBudgetMessage(const BudgetMessage& message);

// Empty when the bytes are not a valid budget message.
std::optional<BudgetMessage> DecodeBudgetMessage(std::string_view bytes);

}  // namespace hornbeamspool::transport
