#include "transport/budget_message.h"

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

// "BGM2"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x42474d32;

// Tokens; a sum of several amounts fits into 64 bits.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000'000;

bool IsAmount(std::int64_t amount) {
  return amount >= 0 && amount <= kMaxAmount;
}

}  // namespace

template <typename Archive>
void save(Archive& archive, const BudgetMessage& message) {
  BudgetMessage copy = message;
  archive(static_cast<std::uint8_t>(message.kind), message.id,
          ShortString{&copy.sender}, message.sender_incarnation,
          message.receiver_incarnation, ShortString{&copy.organisation},
          message.min_amount, message.amount,
          static_cast<std::uint8_t>(message.status));
}

template <typename Archive>
void load(Archive& archive, BudgetMessage& message) {
  std::uint8_t kind = 0;
  std::uint8_t status = 0;
  archive(kind, message.id, ShortString{&message.sender},
          message.sender_incarnation, message.receiver_incarnation,
          ShortString{&message.organisation}, message.min_amount,
          message.amount, status);
  message.kind = static_cast<BudgetMessageKind>(kind);
  message.status = static_cast<TransferStatus>(status);
}

std::string EncodeBudgetMessage(const BudgetMessage& message) {
  return EncodeDatagram(kMagic, message);
}

std::optional<BudgetMessage> DecodeBudgetMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<BudgetMessage>(kMagic, bytes);
  if (!message) return std::nullopt;
  const bool valid = message->kind < BudgetMessageKind::kCount &&
                     message->status < TransferStatus::kCount &&
                     IsAmount(message->min_amount) && IsAmount(message->amount);
  return valid ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
