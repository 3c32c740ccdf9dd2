// Events of the timeline and of the log. Each is one line of key=value pairs.
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
  kRateLimit,
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
  kPoisonPart,  // a part of prompts was named as crashing upstreams, or cleared
  kClient,      // a client was rejected before its request reached a handler
  kFault,       // an exception ended a request or a handler
  kCount
};

struct Event {
  EventKind kind = EventKind::kStarted;
  std::string request;  // request ID; may be empty
  std::string budget;   // budget name; may be empty
  std::string move;     // name of a version rollout; may be empty
  std::string detail;   // further key=value pairs, separated by spaces
};

// The name in logs and in the timeline, for example `grant_drawn`.
std::string_view EventKindName(EventKind kind);

// Formats `key=value`. The value is quoted and escaped when needed, so that it
// can't inject another pair or another line.
std::string KeyValue(std::string_view key, std::string_view value);
std::string KeyValue(std::string_view key, std::int64_t value);

// Formats a fingerprint as 16 hex digits.
std::string Hex(std::uint64_t value);

}  // namespace hornbeamspool::policy
