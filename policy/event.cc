#include "policy/event.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace hornbeamspool::policy {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(EventKind::kCount)>
    kEventNames{"started",          "ready",
                "stopping",         "stopped",
                "config_in_force",  "config_refused",
                "member_changed",   "upstream_changed",
                "rate_limit",       "store_lost",
                "store_regained",   "admitted",
                "refused",          "retried",
                "finished",         "billed",
                "bill_duplicate",   "budget_created",
                "budget_topped_up", "grant_drawn",
                "grant_returned",   "draw_failed",
                "intent_committed", "intent_exists",
                "settle_failed",    "poison_part",
                "client",           "fault"};

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  for (const char c : value) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte <= ' ' || byte == 0x7f || c == '"' || c == '=' || c == '\\') {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string_view EventKindName(EventKind kind) {
  return kEventNames.at(static_cast<std::size_t>(kind));
}

std::string KeyValue(std::string_view key, std::string_view value) {
  std::string text(key);
  text += '=';
  if (!NeedsQuotes(value)) {
    text += value;
    return text;
  }
  text += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') text += '\\';
    const bool control = static_cast<unsigned char>(c) < ' ';
    text += control ? ' ' : c;
  }
  text += '"';
  return text;
}

std::string KeyValue(std::string_view key, std::int64_t value) {
  return KeyValue(key, std::to_string(value));
}

std::string Hex(std::uint64_t value) {
  constexpr std::size_t kDigits = 16;
  std::array<char, kDigits> digits{};
  const char* end =
      std::to_chars(digits.data(), digits.data() + kDigits, value, 16).ptr;
  const auto written = static_cast<std::size_t>(end - digits.data());
  return std::string(kDigits - written, '0') +
         std::string(digits.data(), written);
}

}  // namespace hornbeamspool::policy
