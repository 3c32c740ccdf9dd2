// Events of the time line and of the log. Each is one line of key=value pairs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamspool::policy {

enum class EventKind : std::uint8_t {
  kStarted,
  kReady,
  kStopping,
  kStopped,
  kConfigInForce,
  kConfigRefused,
  kMemberChanged,
  kUpstreamChanged,
  kStoreLost,
  kStoreRegained,
  kAdmitted,
  kRefused,
  kRetried,
  kFinished,
  kBilled,
  kBillDuplicate,
  kBudgetCreated,
  kBudgetToppedUp,
  kGrantDrawn,
  kGrantReturned,
  kDrawFailed,
  kIntentCommitted,
  kIntentExists,
  kSettleFailed,
  kCount
};

struct Event {
  EventKind kind = EventKind::kStarted;
  std::string request;  // request id; empty when not about a request
  std::string budget;   // budget name; empty when not about a budget
  std::string move;     // version move; empty when not about a move
  std::string detail;   // further key=value pairs, separated by blanks
};

// The name used in logs and in the time line, for example `grant_drawn`.
std::string_view EventKindName(EventKind kind);

// `key=value` with the value quoted when it holds blanks or quotes.
std::string KeyValue(std::string_view key, std::string_view value);
std::string KeyValue(std::string_view key, std::int64_t value);

// 16 digits, for fingerprints.
std::string Hex(std::uint64_t value);

}  // namespace hornbeamspool::policy
