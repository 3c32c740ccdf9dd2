#include "transport/budget_message.h"

#include <cereal/archives/portable_binary.hpp>
#include <exception>
#include <sstream>

#include "transport/heartbeat.h"
#include "transport/short_text.h"

namespace hornbeamspool::transport {
namespace {

// First bytes of every message; grows with the encoding.
constexpr std::uint32_t kFormat = 0x42474d31;

}  // namespace

template <typename Archive>
void serialize(Archive& archive, BudgetMessage& message) {
  auto kind = static_cast<std::uint8_t>(message.kind);
  auto note = static_cast<std::uint8_t>(message.note);
  archive(kind, message.id, ShortText{&message.sender},
          ShortText{&message.organisation}, message.needed, message.amount,
          note);
  message.kind = static_cast<BudgetMessageKind>(kind);
  message.note = static_cast<GiftNote>(note);
}

std::string EncodeBudgetMessage(const BudgetMessage& message) {
  std::ostringstream out;
  cereal::PortableBinaryOutputArchive archive(out);
  BudgetMessage copy = message;
  archive(kFormat, copy);
  return out.str();
}

std::optional<BudgetMessage> DecodeBudgetMessage(std::string_view bytes) {
  if (bytes.size() > kMaxDatagramBytes) return std::nullopt;
  try {
    std::istringstream in{std::string(bytes)};
    cereal::PortableBinaryInputArchive archive(in);
    std::uint32_t format = 0;
    archive(format);
    if (format != kFormat) return std::nullopt;
    BudgetMessage message;
    archive(message);
    const bool sound = message.kind < BudgetMessageKind::kCount &&
                       message.note < GiftNote::kCount && message.needed >= 0 &&
                       message.amount >= 0;
    if (!sound) return std::nullopt;
    return message;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hornbeamspool::transport
