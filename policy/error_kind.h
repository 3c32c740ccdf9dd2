// All kinds of errors that callers may receive, and the answer to each.
#pragma once

#include <cstdint>
#include <string_view>

namespace hornbeamspool::policy {

enum class ErrorKind : std::uint8_t {
  kMalformedRequest,
  kHeadersTooLarge,
  kBodyTooLarge,
  kRequestTimeout,
  kUnauthenticated,
  kForbidden,
  kNotFound,
  kUnknownModel,
  kUnknownClass,
  kMethodNotAllowed,
  kTooManyTokens,
  kKeyRequired,
  kKeyReused,
  kInProgress,
  kBudgetExhausted,
  kBudgetUnavailable,
  kNoUpstream,
  kUpstreamRateLimited,
  kCrashSuspect,
  kPoisonPart,
  kOverloaded,
  kNotReady,
  kStopping,
  kStoreUnavailable,
  kUpstreamUnreachable,
  kUpstreamFailed,
  kUpstreamTimeout,
  kAnswerMismatched,
  kAnswerBroken,
  kOrderUncertain,
  kConflict,
  kNotAvailable,
  kInternal,
  kUpstreamBackoff,
  kVmOverloaded,
  kShedByPriority,
  kOverFairShare,
  kDeadlineUnreachable,
  kCount
};

// Whether an upstream executed a request that was answered with an error.
enum class RunState : std::uint8_t { kNotRun, kMayHaveRun, kRan, kCount };

// The answer to a caller's request for one kind of error.
struct ErrorAnswer {
  std::string_view name;        // `code` in the JSON body
  std::uint16_t status;         // HTTP status
  RunState run;                 // `run` in the JSON body
  std::uint16_t retry_after_s;  // `Retry-After`; 0 if a retry can't succeed
  std::string_view message;     // default; a refusal's detail replaces it
};

const ErrorAnswer& AnswerFor(ErrorKind kind);

// The name on the wire: `not_run`, `may_have_run` or `ran`.
std::string_view RunStateName(RunState run);

}  // namespace hornbeamspool::policy
