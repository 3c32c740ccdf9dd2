// Messages between the HTTP listeners and the Router, which admits requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/time.h"
#include "policy/announced_backoff.h"
#include "policy/announced_rate.h"
#include "policy/error_kind.h"
#include "policy/table_messages.h"

namespace hornbeamspool::policy {

enum class RequestKind : std::uint8_t {
  kModel,  // a chat completion by a model
  kPlain,  // a call that matches a PlainRoute
  kCount
};

// A caller's request, as far as admission needs it.
//
// A plain call that is not repeatable is called an order. It runs at most once
// for each organisation and request key: its intent is committed to the store
// before it is sent, and its answer is recorded there, so that a request with
// the same key is answered from the record.
struct AdmissionRequest {
  // Chosen by the listener, unique in the process; the reply repeats it.
  std::uint64_t correlation_id = 0;
  RequestKind kind = RequestKind::kModel;
  std::string key_digest;  // SHA-256 of the bearer key, lower-case hex
  std::string target;      // model name, or path of a plain call
  std::string method;
  std::string work_class;   // empty for the organisation's default
  std::string request_key;  // Idempotency-Key; empty when there is none
  std::string request_id;
  std::uint64_t fingerprint = 0;  // hash of method, target and body
  std::int64_t prompt_bytes = 0;
  std::optional<std::int64_t> max_tokens;
  // Of a model request: hashes of the messages that other requests may share.
  std::vector<std::uint64_t> shared_parts;
};

// The request is admitted and is to be sent to this upstream.
struct Admitted {
  std::uint64_t reservation = 0;
  std::string upstream;
  std::string instance;       // of the upstream
  bool rate_limited = false;  // the instance has announced a rate limit
  bool tries_pause = false;   // the instance asked for a pause that has ended
  std::string address;        // host:port
  std::int64_t max_tokens = 0;
  std::int64_t priority = 0;  // lower is more urgent
  bool repeatable = true;     // may be sent again after it reached an upstream
  coordination::Duration first_byte_timeout{};
  coordination::Duration deadline{};
};

struct Refused {
  ErrorKind kind = ErrorKind::kInternal;
  std::string detail;  // replaces the default message when not empty
  std::optional<std::int64_t> retry_after_s;
  // The key of an order could not be looked up in the store. This attempt did
  // not run; whether an earlier one did is unknown.
  bool earlier_attempts_unknown = false;
};

// The recorded answer of an order that was sent before with the same key.
struct Replayed {
  RecordedAnswer answer;
};

struct AdmissionReply {
  std::uint64_t correlation_id = 0;
  std::variant<Refused, Admitted, Replayed> verdict;
};

// Requests another upstream under the same reservation, after an attempt failed
// before any byte of an answer was passed on to the caller.
struct RetryRequest {
  std::uint64_t correlation_id = 0;
  std::uint64_t reservation = 0;
  bool reached = false;  // a byte of the request may have reached the upstream
  bool broken = false;   // the upstream sent no complete answer
  bool crashed = false;  // its address refuses connections
};

// The first event of an answer has arrived. May be left out.
struct AnswerBegun {
  std::uint64_t reservation = 0;
};

// Logged as a number: keep the order.
enum class CompletionOutcome : std::uint8_t {
  kDelivered,           // the whole answer was delivered
  kCallerDisconnected,  // before the whole answer was delivered
  kInterrupted,         // the answer failed after part of it was passed on
  kNotRun,              // no byte was sent upstream
  kMayHaveRun,          // sent, but no answer came
  kCount
};

// The end of an admitted request.
struct Completion {
  std::uint64_t reservation = 0;
  CompletionOutcome outcome = CompletionOutcome::kDelivered;
  bool usage_known = false;  // the upstream reported the tokens it used
  std::int64_t prompt_tokens = 0;
  // Those delivered to the caller when the usage is unknown.
  std::int64_t completion_tokens = 0;
  RecordedAnswer answer;  // of an order that ran
  std::int64_t wall_us = 0;
};

// What the head of an upstream's answer says of further requests to it.
struct UpstreamAnswer {
  std::string instance;
  AnnouncedRate rate;
  AnnouncedBackoff backoff;
  coordination::TimePoint sent_at{};  // of the request
};

using ListenerMessage = std::variant<AdmissionRequest, RetryRequest,
                                     AnswerBegun, Completion, UpstreamAnswer>;

}  // namespace hornbeamspool::policy
