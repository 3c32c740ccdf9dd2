// The properties of a request that decide whether it is admitted when
// resources are short, and the decision.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct OverloadRequest {
  std::string_view id;
  std::string_view route;         // the class of the request
  std::string_view organisation;  // empty on public routes
  std::string_view service;
  std::int64_t priority = 0;                // 0 to 9; 0 is the most urgent
  coordination::Duration time_left{};       // until the deadline
  coordination::Duration target_latency{};  // to the first event
  coordination::Duration waited{};          // since it was due to begin
  std::int64_t engine_work = 1;  // in prefill tokens, see EngineWork()
  std::int64_t link_bytes = 0;   // in each direction, see LinkBytes()
  bool first_attempt = true;     // not a retry or a resumed stream
  bool offered_before = false;   // an earlier decision was to wait
};

enum class OverloadReason : std::uint8_t {
  kNone,
  kDeadline,   // the best forecast ends after the deadline
  kPriority,   // more urgent or smaller requests need the capacity
  kFairShare,  // the organisation exceeds its share of scarce capacity
  kLinkDelay,  // the link's delay, in the mode `off`
  kVm,         // the VM's link, descriptors or processor are short
  kCount
};

struct OverloadDecision {
  enum class Kind : std::uint8_t { kAdmit, kWait, kRefuse };

  Kind kind = Kind::kAdmit;
  OverloadReason reason = OverloadReason::kNone;
  coordination::TimePoint wait_until{};  // of kWait
  coordination::Duration retry_after{};  // of kRefuse
  double shed = 0;  // the fraction of the offered work that has to yield
};

// The name in logs and metrics, for example `fair_share`.
std::string_view OverloadReasonName(OverloadReason reason);

// Work of a model request on an engine. An output token occupies an engine with
// all slots busy about as long as the prefill of `kOutputTokenWork` tokens.
std::int64_t EngineWork(std::int64_t prompt_tokens, std::int64_t output_tokens);

// Bytes that a request takes of the VM's link in each direction: its body
// arrives and is sent on, and so is the response. `output_tokens` is 0 for a
// request that is no model request.
std::int64_t LinkBytes(std::int64_t body_bytes, std::int64_t output_tokens,
                       std::int64_t tokens_per_event);

// A uniformly distributed number in [0, 1) derived from the request id.
double UniformDraw(std::string_view request_id, std::uint64_t seed);

// Adds a jitter of up to 50 %, derived from the request id, so that callers
// don't all retry at once.
coordination::Duration AddJitter(coordination::Duration after,
                                 std::string_view request_id);

// Spreads the returns of refused callers over [`shortest`, `shortest + span`):
// the span has one tenth for each priority, the most urgent first, and each
// request its own place in it. Ends before a third of `time_left`, beyond which
// callers don't honour it.
coordination::Duration SpreadRetryAfter(const OverloadRequest& request,
                                        coordination::Duration shortest,
                                        coordination::Duration span);

}  // namespace hornbeamspool::policy
