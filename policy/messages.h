// Messages between the listeners and the decisions.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "coordination/time.h"
#include "policy/error_kind.h"
#include "policy/table_messages.h"

namespace hornbeamspool::policy {

enum class RequestKind : std::uint8_t { kModel, kPlain, kCount };

// A caller's request, as far as decisions need it.
struct AdmissionRequest {
  std::uint64_t correlation_id =
      0;  // chosen by the listener, unique in the process
  RequestKind kind = RequestKind::kModel;
  std::string key_digest;  // SHA-256 of the bearer key, lower-case hex
  std::string target;      // model name, or path of a plain call
  std::string method;
  std::string work_class;   // empty for the organisation's default
  std::string request_key;  // empty when the caller gave none
  std::string request_id;
  std::uint64_t fingerprint = 0;  // hash of method, target and body
  std::int64_t prompt_bytes = 0;
  std::optional<std::int64_t> max_tokens;
};

// The request may go to this upstream now.
struct Admitted {
  std::uint64_t reservation = 0;
  std::string upstream;
  std::string address;  // host:port
  std::int64_t max_tokens = 0;
  std::int64_t priority = 0;  // smaller is more urgent
  bool repeatable = true;     // may be sent again after a first byte
  coordination::Duration first_byte_timeout{};
  coordination::Duration deadline{};
};

struct Refused {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;  // replaces the default message when not empty
  std::optional<std::int64_t> retry_after_s;
  // An order whose key could not be looked up: this try did not run, and
  // nothing is known of earlier ones.
  bool earlier_attempts_unknown = false;
};

// A repeated order is answered with what was recorded.
struct Replayed {
  RecordedAnswer answer;
};

struct AdmissionReply {
  std::uint64_t correlation_id = 0;
  std::variant<Refused, Admitted, Replayed> verdict;
};

// The first try failed before any byte of an answer was shown. Asks for
// another upstream under the same reservation.
struct RetryRequest {
  std::uint64_t correlation_id = 0;
  std::uint64_t reservation = 0;
  bool reached = false;  // a byte of the request may have reached the upstream
};

enum class CompletionOutcome : std::uint8_t {
  kWhole,       // the whole answer was delivered
  kCallerGone,  // the caller went away first
  kBroken,      // the upstream broke off
  kNotRun,      // no byte was sent upstream
  kMayHaveRun,  // sent, and no answer came
  kCount
};

// The end of an admitted request.
struct Completion {
  std::uint64_t reservation = 0;
  CompletionOutcome outcome = CompletionOutcome::kWhole;
  bool usage_known = false;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;  // delivered ones when usage is unknown
  RecordedAnswer answer;               // of an order that ran
  std::int64_t wall_us = 0;
};

using ListenerMessage =
    std::variant<AdmissionRequest, RetryRequest, Completion>;

}  // namespace hornbeamspool::policy
