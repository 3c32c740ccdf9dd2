#include "policy/permit_filter.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using Kind = RateLimits::Permission::Kind;

// Limit on the permits that one request asks other VMs for. Each takes a round
// trip.
constexpr std::int64_t kMaxRequests = 4;

// The shortest time until a refused caller comes back.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(700);

}  // namespace

bool PermitFilter::Allows(std::string_view instance) {
  if (instance == this->state->granted) return true;
  const RateLimits::Permission permission =
      this->limits->Check(instance, this->now);
  const bool asks = permission.kind == Kind::kAsk;
  if (permission.kind != Kind::kRefused &&
      (!asks || this->state->requests < kMaxRequests)) {
    return true;
  }
  const TimePoint retry_at =
      asks ? this->now + kMinRetryAfter : permission.retry_at;
  const Duration backlog = this->limits->Backlog(instance);
  this->retry_at =
      this->excluded ? std::min(this->retry_at, retry_at) : retry_at;
  this->backlog = this->excluded ? std::min(this->backlog, backlog) : backlog;
  this->excluded = true;
  return false;
}

PermitFilter::Outcome PermitFilter::Decide(TimePoint arrived,
                                           Duration target_latency,
                                           TimePoint deadline) const {
  const TimePoint last =
      arrived + std::min(target_latency / 2, (deadline - arrived) / 4);
  Outcome outcome;
  outcome.waits = this->retry_at <= last;
  outcome.retry_at = this->retry_at;
  outcome.retry_after =
      std::max({kMinRetryAfter, this->backlog, this->retry_at - this->now});
  return outcome;
}

}  // namespace hornbeamspool::policy
