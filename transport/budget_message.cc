#include "transport/budget_message.h"

#include "transport/datagram.h"
#include "transport/short_text.h"

namespace hornbeamspool::transport {
namespace {

// First bytes of every message; grows with the encoding.
constexpr std::uint32_t kFormat = 0x42474d32;

}  // namespace

template <typename Archive>
void save(Archive& archive, const BudgetMessage& message) {
  BudgetMessage copy = message;
  archive(static_cast<std::uint8_t>(message.kind), message.id,
          ShortText{&copy.sender}, message.sender_incarnation,
          message.receiver_incarnation, ShortText{&copy.organisation},
          message.needed, message.amount,
          static_cast<std::uint8_t>(message.note));
}

template <typename Archive>
void load(Archive& archive, BudgetMessage& message) {
  std::uint8_t kind = 0;
  std::uint8_t note = 0;
  archive(kind, message.id, ShortText{&message.sender},
          message.sender_incarnation, message.receiver_incarnation,
          ShortText{&message.organisation}, message.needed, message.amount,
          note);
  message.kind = static_cast<BudgetMessageKind>(kind);
  message.note = static_cast<GiftNote>(note);
}

std::string EncodeBudgetMessage(const BudgetMessage& message) {
  return EncodeDatagram(kFormat, message);
}

std::optional<BudgetMessage> DecodeBudgetMessage(std::string_view bytes) {
  const auto message = DecodeDatagram<BudgetMessage>(kFormat, bytes);
  if (!message) return std::nullopt;
  const bool sound = message->kind < BudgetMessageKind::kCount &&
                     message->note < GiftNote::kCount && message->needed >= 0 &&
                     message->amount >= 0;
  return sound ? message : std::nullopt;
}

}  // namespace hornbeamspool::transport
