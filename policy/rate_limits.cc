#include "policy/rate_limits.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// How long the rate limit of an upstream is kept that has left the registry. An
// upstream that lost contact with the store registers again within seconds.
constexpr Duration kRetention = std::chrono::minutes(1);

// How long an issuer's part stays raised after a VM reported that another
// issuer is silent.
constexpr Duration kRaisedTime = std::chrono::seconds(1);

// An issuer that did not answer is not asked for this long; doubles with each
// timeout in a row, up to this many times.
constexpr Duration kInitialBackoff = std::chrono::milliseconds(500);
constexpr std::int64_t kMaxDoublings = 4;

// A single timeout may be due to lost datagrams.
constexpr std::int64_t kTimeoutsUntilSilent = 2;

// Refusals in this period count as the backlog of an issuer.
constexpr Duration kBacklogWindow = std::chrono::seconds(1);
constexpr Duration kMaxBacklog = std::chrono::seconds(10);

// A refusal never names a shorter time until the next permit.
constexpr Duration kMinRetry = std::chrono::milliseconds(1);

// How long to wait before the fleet's members are known.
constexpr Duration kUnknownMembersRetry = std::chrono::milliseconds(300);

Duration SecondsToDuration(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

bool Limits(const AnnouncedRate& rate) {
  return rate.kind == AnnouncedRate::Kind::kLimited;
}

}  // namespace

std::string_view RateLimits::ChangeName(Change change) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(Change::kCount)>
      kNames{"none", "announced", "changed", "ended", "malformed"};
  return kNames.at(static_cast<std::size_t>(change));
}

void RateLimits::SetMembers(std::vector<std::string> vms) {
  vms.push_back(this->self);
  std::sort(vms.begin(), vms.end());
  vms.erase(std::unique(vms.begin(), vms.end()), vms.end());
  if (vms == this->members) return;
  this->members = std::move(vms);
  ++this->revision;
  std::erase_if(this->peers, [this](const auto& entry) {
    return !std::binary_search(this->members.begin(), this->members.end(),
                               entry.first);
  });
}

RateLimits::State* RateLimits::FindState(std::string_view instance) {
  const auto found = this->states.find(instance);
  return found == this->states.end() ? nullptr : &found->second;
}

const RateLimits::State* RateLimits::FindState(
    std::string_view instance) const {
  const auto found = this->states.find(instance);
  return found == this->states.end() ? nullptr : &found->second;
}

RateLimits::Change RateLimits::Apply(State& state,
                                     const Announcement& announcement) {
  const Announcement before = std::exchange(state.latest, announcement);
  const bool was_limited = Limits(before.rate);
  const bool is_limited = Limits(announcement.rate);
  this->limited_count += (is_limited ? 1 : 0) - (was_limited ? 1 : 0);
  if (!was_limited && is_limited) {
    state.bucket = Bucket{};
    return Change::kAnnounced;
  }
  if (was_limited && !is_limited) return Change::kEnded;
  return before.rate == announcement.rate ? Change::kNone : Change::kChanged;
}

RateLimits::Change RateLimits::OnAnswer(std::string_view instance,
                                        const AnnouncedRate& rate,
                                        TimePoint sent_at, TimePoint now) {
  State* state = this->FindState(instance);
  const bool unlimited = rate.kind == AnnouncedRate::Kind::kUnlimited;
  if (state == nullptr && unlimited) return Change::kNone;
  if (state == nullptr) state = &this->states[std::string(instance)];
  if (rate.kind == AnnouncedRate::Kind::kMalformed) {
    return std::exchange(state->malformed, true) ? Change::kNone
                                                 : Change::kMalformed;
  }
  if (unlimited && sent_at <= state->latest.at) return Change::kNone;
  state->malformed = false;
  return this->Apply(*state, {rate, now});
}

RateLimits::Change RateLimits::OnPeerReport(std::string_view instance,
                                            const Announcement& announcement) {
  State* state = this->FindState(instance);
  if (state == nullptr) {
    if (!Limits(announcement.rate)) return Change::kNone;
    state = &this->states[std::string(instance)];
  } else if (announcement.at <= state->latest.at) {
    return Change::kNone;
  }
  return this->Apply(*state, announcement);
}

const RateLimits::Announcement* RateLimits::Find(
    std::string_view instance) const {
  const State* state = this->FindState(instance);
  return state == nullptr ? nullptr : &state->latest;
}

bool RateLimits::IsLimited(std::string_view instance) const {
  const State* state = this->FindState(instance);
  return state != nullptr && Limits(state->latest.rate);
}

// All VMs choose the same issuers. Each asks them in another order, so that
// requests spread over them; an issuer takes its own permits first.
std::vector<RateLimits::IssuerState>& RateLimits::IssuersOf(
    std::string_view instance, State& state) {
  if (state.issuers_revision == this->revision) return state.issuers;
  const std::uint64_t seed = coordination::StableHash(instance);
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  for (const std::string& vm : this->members) {
    ranked.emplace_back(coordination::StableHash(vm, seed), vm);
  }
  const std::size_t count = std::min(kMaxIssuers, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(count),
                    ranked.end(), std::greater<>());
  ranked.resize(count);
  const std::size_t offset = coordination::StableHash(this->self, seed) % count;
  std::rotate(ranked.begin(),
              ranked.begin() + static_cast<std::ptrdiff_t>(offset),
              ranked.end());
  std::stable_partition(
      ranked.begin(), ranked.end(),
      [this](const auto& entry) { return entry.second == this->self; });
  std::vector<IssuerState> issuers;
  for (const auto& [score, vm] : ranked) {
    IssuerState issuer;
    issuer.vm = vm;
    for (const IssuerState& known : state.issuers) {
      if (known.vm == vm) issuer = known;
    }
    issuers.push_back(std::move(issuer));
  }
  state.issuers = std::move(issuers);
  state.issuers_revision = this->revision;
  return state.issuers;
}

bool RateLimits::IsSilent(std::string_view vm, TimePoint now) const {
  const auto found = this->peers.find(vm);
  return found != this->peers.end() && now < found->second.silent_until &&
         found->second.timeouts >= kTimeoutsUntilSilent;
}

bool RateLimits::IssuerIsSilent(std::string_view instance, TimePoint now) {
  State* state = this->FindState(instance);
  if (state == nullptr) return false;
  const std::vector<IssuerState>& issuers = this->IssuersOf(instance, *state);
  return std::any_of(issuers.begin(), issuers.end(),
                     [&](const IssuerState& issuer) {
                       return this->IsSilent(issuer.vm, now);
                     });
}

bool RateLimits::IsIssuer(std::string_view instance) {
  State* state = this->FindState(instance);
  if (state == nullptr || this->revision == 0) return false;
  return this->IssuersOf(instance, *state).front().vm == this->self;
}

std::vector<std::string> RateLimits::OtherIssuers(std::string_view instance) {
  std::vector<std::string> vms;
  State* state = this->FindState(instance);
  if (state == nullptr || this->revision == 0) return vms;
  for (const IssuerState& issuer : this->IssuersOf(instance, *state)) {
    if (issuer.vm != this->self) vms.push_back(issuer.vm);
  }
  return vms;
}

double RateLimits::OwnRate(std::string_view instance, State& state,
                           TimePoint now) {
  const std::vector<IssuerState>& issuers = this->IssuersOf(instance, state);
  if (issuers.empty() || issuers.front().vm != this->self) return 0;
  const bool raised =
      issuers.size() > 1 &&
      (now < state.bucket.raised_until || this->IssuerIsSilent(instance, now));
  const double limit = std::max(state.latest.rate.per_second, kMinPerSecond);
  return limit * (raised ? kMaxOverlap : 1.0) /
         static_cast<double>(issuers.size());
}

double RateLimits::FillBucket(std::string_view instance, State& state,
                              TimePoint now) {
  const double rate = this->OwnRate(instance, state, now);
  Bucket& bucket = state.bucket;
  if (bucket.filled_at != TimePoint{}) {
    const std::chrono::duration<double> passed = now - bucket.filled_at;
    bucket.tokens += std::max(0.0, passed.count()) * rate;
  }
  bucket.tokens = std::min(bucket.tokens, std::max(1.0, rate * kBurstSeconds));
  bucket.filled_at = now;
  return rate;
}

bool RateLimits::TakeOwn(std::string_view instance, TimePoint now) {
  State* state = this->FindState(instance);
  if (state == nullptr || !Limits(state->latest.rate)) return true;
  const double rate = this->FillBucket(instance, *state, now);
  if (rate == 0 || state->bucket.tokens < 1) return false;
  state->bucket.tokens -= 1;
  return true;
}

RateLimits::Permission RateLimits::Check(std::string_view instance,
                                         TimePoint now) {
  Permission permission;
  State* state = this->FindState(instance);
  if (state == nullptr || !Limits(state->latest.rate)) return permission;
  permission.kind = Permission::Kind::kRefused;
  permission.retry_at = now + kUnknownMembersRetry;
  if (this->revision == 0) return permission;

  // Step 1: this VM's own permits.
  permission.retry_at = TimePoint::max();
  const double rate = this->FillBucket(instance, *state, now);
  if (rate > 0 && state->bucket.tokens >= 1) {
    permission.kind = Permission::Kind::kAvailable;
    return permission;
  }
  if (rate > 0) {
    const double missing = 1 - state->bucket.tokens;
    permission.retry_at =
        now + std::max(kMinRetry, SecondsToDuration(missing / rate));
  }

  // Step 2: the first other issuer that may grant one.
  for (const IssuerState& issuer : this->IssuersOf(instance, *state)) {
    if (issuer.vm == this->self) continue;
    TimePoint retry_at = issuer.refused_until;
    const auto peer = this->peers.find(issuer.vm);
    if (peer != this->peers.end()) {
      retry_at = std::max(retry_at, peer->second.silent_until);
    }
    if (retry_at <= now) {
      permission.kind = Permission::Kind::kAsk;
      permission.issuer = issuer.vm;
      return permission;
    }
    permission.retry_at = std::min(permission.retry_at, retry_at);
  }
  return permission;
}

RateLimits::Verdict RateLimits::Issue(std::string_view instance, bool failover,
                                      TimePoint now) {
  Verdict verdict;
  State* state = this->FindState(instance);
  if (state == nullptr || !Limits(state->latest.rate)) {
    verdict.granted = true;
    return verdict;
  }
  if (this->revision == 0) {
    verdict.next_permit = verdict.backlog = kUnknownMembersRetry;
    return verdict;
  }
  // Fills the bucket at the rate that has applied so far.
  this->FillBucket(instance, *state, now);
  Bucket& bucket = state->bucket;
  if (failover) bucket.raised_until = now + kRaisedTime;
  const double rate = this->OwnRate(instance, *state, now);
  if (rate > 0 && bucket.tokens >= 1) {
    bucket.tokens -= 1;
    verdict.granted = true;
    return verdict;
  }
  if (rate == 0) {  // the other VM has an older list of members
    verdict.next_permit = verdict.backlog = kMaxBacklog;
    return verdict;
  }
  while (!bucket.refusals.empty() &&
         now - bucket.refusals.front() >= kBacklogWindow) {
    bucket.refusals.pop_front();
  }
  bucket.refusals.push_back(now);
  verdict.next_permit =
      std::max(kMinRetry, SecondsToDuration((1 - bucket.tokens) / rate));
  verdict.backlog = std::min(
      kMaxBacklog,
      SecondsToDuration(static_cast<double>(bucket.refusals.size()) / rate));
  return verdict;
}

void RateLimits::OnVerdict(std::string_view instance, std::string_view issuer,
                           const Verdict& verdict, TimePoint now) {
  const auto peer = this->peers.find(issuer);
  if (peer != this->peers.end()) this->peers.erase(peer);
  State* state = this->FindState(instance);
  if (state == nullptr) return;
  for (IssuerState& known : this->IssuersOf(instance, *state)) {
    if (known.vm != issuer) continue;
    known.refused_until = verdict.granted ? now : now + verdict.next_permit;
    known.backlog = verdict.granted ? Duration(0) : verdict.backlog;
  }
}

void RateLimits::OnTimeout(std::string_view issuer, TimePoint now) {
  PeerState& peer = this->peers[std::string(issuer)];
  // Requests that were in flight together count as one.
  if (now < peer.silent_until) return;
  const auto doublings =
      static_cast<unsigned>(std::min(peer.timeouts++, kMaxDoublings));
  peer.silent_until = now + kInitialBackoff * (1U << doublings);
}

Duration RateLimits::Backlog(std::string_view instance) const {
  const State* state = this->FindState(instance);
  if (state == nullptr || state->issuers.empty()) return Duration(0);
  std::optional<Duration> shortest;
  for (const IssuerState& issuer : state->issuers) {
    if (issuer.vm == this->self) continue;
    shortest = std::min(shortest.value_or(kMaxBacklog), issuer.backlog);
  }
  return shortest.value_or(Duration(0));
}

void RateLimits::OnSent(std::string_view instance, TimePoint now) {
  State* state = this->FindState(instance);
  if (state == nullptr) return;
  while (!state->sends.empty() && now - state->sends.front() >= kSendWindow) {
    state->sends.pop_front();
  }
  state->sends.push_back(now);
}

void RateLimits::Prune(const std::set<std::string, std::less<>>& live,
                       TimePoint now) {
  std::erase_if(this->states, [&](const auto& entry) {
    const Announcement& latest = entry.second.latest;
    const bool limited = Limits(latest.rate);
    const bool dropped = latest.at < now - kRetention &&
                         (!limited || !live.contains(entry.first));
    if (dropped && limited) --this->limited_count;
    return dropped;
  });
}

std::vector<RateLimits::Stats> RateLimits::AllStats(TimePoint now) {
  std::vector<Stats> all;
  for (auto& [instance, state] : this->states) {
    if (!Limits(state.latest.rate)) continue;
    const auto recent = std::count_if(
        state.sends.begin(), state.sends.end(),
        [now](TimePoint sent) { return now - sent < kSendWindow; });
    const double sent = static_cast<double>(recent) /
                        std::chrono::duration<double>(kSendWindow).count();
    const double issued =
        this->revision == 0 ? 0 : this->OwnRate(instance, state, now);
    all.push_back({instance, state.latest.rate.per_second, sent, issued});
  }
  return all;
}

std::vector<std::pair<std::string, RateLimits::Announcement>>
RateLimits::AllLimited() const {
  std::vector<std::pair<std::string, Announcement>> all;
  for (const auto& [instance, state] : this->states) {
    if (Limits(state.latest.rate)) all.emplace_back(instance, state.latest);
  }
  return all;
}

}  // namespace hornbeamspool::policy
