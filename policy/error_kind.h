// The closed list of error kinds and the table from each kind to its answer.
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
  kCrashSuspect,
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
  kCount
};

// Whether the work of a refused request was carried out.
enum class RunState : std::uint8_t { kNotRun, kMayHaveRun, kRan, kCount };

// How an error kind is answered.
struct ErrorAnswer {
  std::string_view name;        // `code` in the JSON body
  std::uint16_t status;         // HTTP status
  RunState run;                 // `run` in the JSON body
  std::uint16_t retry_after_s;  // `Retry-After`; 0 when retrying won't help
  std::string_view message;     // default text
};

const ErrorAnswer& AnswerFor(ErrorKind kind);

// The word used on the wire: not_run, may_have_run or ran.
std::string_view RunStateName(RunState run);

}  // namespace hornbeamspool::policy
