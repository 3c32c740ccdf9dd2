#include "policy/permit_filter.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "policy/warmup/cold_upstreams.h"

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

void PermitState::Add(std::string key) {
  std::string& permit =
      ColdUpstreams::InstanceOf(key) ? this->granted_warmup : this->granted;
  permit = std::move(key);
}

void PermitState::Clear() {
  this->granted.clear();
  this->granted_warmup.clear();
}

// The limit of a cold instance comes first: it is usually the lower one, and a
// permit of the other is lost when it has none.
std::vector<PermitFilter::Limit> PermitFilter::LimitsOf(
    std::string_view instance) const {
  std::vector<Limit> needed;
  if (this->cold != nullptr && this->cold->IsCold(instance, this->now)) {
    std::string key = ColdUpstreams::PermitKey(instance);
    const bool held = key == this->state->granted_warmup;
    needed.push_back({std::move(key), held});
  }
  needed.push_back({std::string(instance), instance == this->state->granted});
  return needed;
}

void PermitFilter::Exclude(TimePoint retry_at, Duration backlog) {
  this->retry_at =
      this->excluded ? std::min(this->retry_at, retry_at) : retry_at;
  this->backlog = this->excluded ? std::min(this->backlog, backlog) : backlog;
  this->excluded = true;
}

bool PermitFilter::LimitAllows(const Limit& limit) {
  if (limit.held) return true;
  const RateLimits::Permission permission =
      this->limits->Check(limit.key, this->now);
  const bool asks = permission.kind == Kind::kAsk;
  if (permission.kind != Kind::kRefused &&
      (!asks || this->state->requests < kMaxRequests)) {
    return true;
  }
  const TimePoint retry_at =
      asks ? this->now + kMinRetryAfter : permission.retry_at;
  this->Exclude(retry_at, this->limits->Backlog(limit.key));
  return false;
}

bool PermitFilter::Allows(std::string_view instance) {
  const bool closed =
      this->cold != nullptr &&
      this->cold->UseOf(instance, this->now) == ColdUpstreams::Use::kNone;
  if (closed) {
    this->Exclude(this->cold->ColdUntil(instance), Duration(0));
    this->cold_excluded = true;
    return false;
  }
  for (const Limit& limit : this->LimitsOf(instance)) {
    if (this->LimitAllows(limit)) continue;
    this->cold_excluded =
        this->cold_excluded || ColdUpstreams::InstanceOf(limit.key);
    return false;
  }
  return true;
}

bool PermitFilter::HoldsPermit(std::string_view instance) const {
  return instance == this->state->granted ||
         ColdUpstreams::InstanceOf(this->state->granted_warmup) == instance;
}

std::optional<PermitFilter::Missing> PermitFilter::MissingPermit(
    std::string_view instance) {
  for (Limit& limit : this->LimitsOf(instance)) {
    if (limit.held) continue;
    RateLimits::Permission permission =
        this->limits->Check(limit.key, this->now);
    if (permission.kind != Kind::kAsk) continue;
    return Missing{std::move(limit.key), std::move(permission.issuer)};
  }
  return std::nullopt;
}

void PermitFilter::TakeOwn(std::string_view instance) {
  for (const Limit& limit : this->LimitsOf(instance)) {
    if (!limit.held) this->limits->TakeOwn(limit.key, this->now);
    this->limits->OnSent(limit.key, this->now);
  }
  if (this->cold_excluded) this->cold->CountRedirected();
}

void PermitFilter::CountRefusal() {
  if (this->cold_excluded) this->cold->CountRefused();
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
