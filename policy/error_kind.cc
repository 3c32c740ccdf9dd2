#include "policy/error_kind.h"

#include <array>
#include <cstddef>

namespace hornbeamspool::policy {
namespace {

constexpr auto kErrorKindCount = static_cast<std::size_t>(ErrorKind::kCount);
constexpr RunState kNot = RunState::kNotRun;
constexpr RunState kMay = RunState::kMayHaveRun;

// Indexed by ErrorKind. An error whose answer says `not_run` may be raised only
// while no byte of the request has reached an upstream.
constexpr std::array<ErrorAnswer, kErrorKindCount> kAnswers{{
    {"malformed_request", 400, kNot, 0, "the request could not be parsed"},
    {"headers_too_large", 431, kNot, 0, "the request headers are too large"},
    {"body_too_large", 413, kNot, 0, "the request body is over the limit"},
    {"request_timeout", 408, kNot, 1, "the request did not arrive in time"},
    {"unauthenticated", 401, kNot, 0, "the bearer key is not known"},
    {"forbidden", 403, kNot, 0, "the organisation may not use this class"},
    {"not_found", 404, kNot, 0, "no route has this path"},
    {"unknown_model", 404, kNot, 0, "no model has this name"},
    {"unknown_class", 400, kNot, 0, "no class of work has this name"},
    {"method_not_allowed", 405, kNot, 0, "the route does not take this method"},
    {"too_many_tokens", 400, kNot, 0, "max_tokens is over the model's limit"},
    {"key_required", 400, kNot, 0, "this call needs an Idempotency-Key"},
    {"key_reused", 422, kNot, 0, "the key was used for another request"},
    {"in_progress", 409, kMay, 1, "a request with this key is in progress"},
    {"budget_exhausted", 402, kNot, 60, "the budget cannot pay this request"},
    {"budget_unavailable", 503, kNot, 2, "no grant could be drawn in time"},
    {"no_upstream", 503, kNot, 2, "no upstream can take this request now"},
    {"upstream_rate_limited", 503, kNot, 2,
     "all upstreams are at the rate limits that they announce"},
    {"crash_suspect", 503, kNot, 120, "upstreams went down with this request"},
    {"poison_part", 503, kNot, 120,
     "upstreams crash with a part of this request's prompt"},
    {"overloaded", 503, kNot, 1, "the router is at its limit"},
    {"not_ready", 503, kNot, 2, "the router has no configuration yet"},
    {"stopping", 503, kNot, 1, "the router is stopping"},
    {"store_unavailable", 503, kNot, 2, "the store did not answer"},
    {"upstream_unreachable", 503, kNot, 1, "no upstream could be reached"},
    {"upstream_failed", 502, kMay, 1, "the upstream failed"},
    {"upstream_timeout", 504, kMay, 2, "the upstream did not answer in time"},
    {"answer_mismatched", 502, kMay, 1, "the answer was for another request"},
    {"answer_broken", 502, kMay, 1, "the answer broke off"},
    {"order_uncertain", 409, kMay, 0, "an earlier try may have run"},
    {"conflict", 409, kNot, 1, "the state changed in the meantime"},
    {"not_available", 501, kNot, 0, "this verb is not available yet"},
    {"internal", 500, kMay, 1, "internal error"},
    {"upstream_backoff", 503, kNot, 2,
     "all upstreams leave or have asked for a pause"},
    {"vm_overloaded", 503, kNot, 1, "the router's own link or load is high"},
    {"shed_by_priority", 503, kNot, 1,
     "more urgent requests need the remaining capacity"},
    {"over_fair_share", 503, kNot, 1,
     "the organisation exceeds its share of scarce capacity"},
    {"deadline_unreachable", 503, kNot, 1,
     "no upstream could answer before the deadline"},
}};

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(RunState::kCount)>
    kRunNames{"not_run", "may_have_run", "ran"};

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  return kAnswers.at(static_cast<std::size_t>(kind));
}

std::string_view RunStateName(RunState run) {
  return kRunNames.at(static_cast<std::size_t>(run));
}

}  // namespace hornbeamspool::policy
