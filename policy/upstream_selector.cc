#include "policy/upstream_selector.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Costs are counted in milliseconds of delay.

// A prompt token takes this long to read until answers have told better: large
// engines read about 100 tokens in a millisecond.
constexpr double kFirstMsPerToken = 0.01;

// Reading a shared part that another engine holds already costs this many
// times its time: the engine's work besides the request's own delay.
constexpr double kRereadFactor = 4;
// Each running request slows the others' tokens.
constexpr double kRunningMs = 2;
// A request that waits at the upstream.
constexpr double kWaitingMs = 15;
// What a stream loses when a prompt read beside it fills its target pause.
constexpr double kPauseMs = 60;
// Pauses well over the target lose no more.
constexpr double kMostPauses = 1.5;
// Crossing availability zones: a little delay, and bytes are priced.
constexpr double kZoneMs = 3;
// An upstream whose answers all fail.
constexpr double kFailureMs = 1000;
// An upstream that is full, by its slots or its memory.
constexpr double kFullMs = 500;

// How fast the time for a token follows observations below and above it: close
// to the fastest, since the others waited for something else too.
constexpr double kFasterWeight = 0.1;
constexpr double kSlowerWeight = 0.01;
// Prompts too short to tell the engine's speed.
constexpr std::int64_t kLeastObserved = 2000;

// A report is believed for this long; upstreams answer several times a second.
constexpr Duration kLoadAge = std::chrono::milliseconds(1000);

// Recent failures count by this weight each.
constexpr double kFailureWeight = 0.15;

// An upstream that can't be reached is left alone, longer each time.
constexpr Duration kFirstSuspension = std::chrono::milliseconds(300);
constexpr std::int64_t kMostDoublings = 4;
// So is one that fails more often than this in a row.
constexpr std::int64_t kFailuresBorne = 2;

// Engines evict what has not been used for long; parts beyond this many tokens
// are taken as evicted. Used where an engine's memory isn't known.
constexpr std::int64_t kCacheTokens = 200'000;

// A part that the home upstream has surely read when other VMs send it there,
// but may have evicted.
constexpr double kHomeTrust = 0.8;

std::array<char, sizeof(std::uint64_t)> BytesOf(std::uint64_t value) {
  std::array<char, sizeof(value)> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(value & 0xffU);
    value >>= 8U;
  }
  return bytes;
}

// The part that decides where a request is at home: the last shared one.
std::optional<std::uint64_t> HomeKey(const ModelDemand* demand) {
  if (demand == nullptr || demand->parts.size() < 2) return std::nullopt;
  return demand->parts[demand->parts.size() - 2].id;
}

const UpstreamEntry* HomeOf(std::uint64_t key,
                            std::span<const UpstreamEntry* const> upstreams) {
  std::vector<std::string_view> members;
  members.reserve(upstreams.size());
  for (const UpstreamEntry* upstream : upstreams) {
    members.push_back(upstream->id);
  }
  const auto bytes = BytesOf(key);
  const auto owner =
      coordination::RendezvousOwner({bytes.data(), bytes.size()}, members);
  return owner ? upstreams[*owner] : nullptr;
}

}  // namespace

class UpstreamSelector::PartCache {
 public:
  bool Holds(std::uint64_t part) const { return this->places.contains(part); }

  void Use(const PromptPart& part) {
    if (const auto found = this->places.find(part.id);
        found != this->places.end()) {
      this->parts.splice(this->parts.begin(), this->parts, found->second);
      return;
    }
    this->parts.push_front(part);
    this->places[part.id] = this->parts.begin();
    this->tokens += part.tokens;
    while (this->tokens > kCacheTokens) {
      this->tokens -= this->parts.back().tokens;
      this->places.erase(this->parts.back().id);
      this->parts.pop_back();
    }
  }

 private:
  std::list<PromptPart> parts;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> places;
  std::int64_t tokens = 0;
};

UpstreamSelector::UpstreamSelector(std::string availability_zone)
    : availability_zone(std::move(availability_zone)),
      ms_per_token(kFirstMsPerToken) {}

UpstreamSelector::State& UpstreamSelector::StateOf(std::string_view upstream) {
  State& state = this->states[std::string(upstream)];
  if (!state.cache) state.cache = std::make_shared<PartCache>();
  return state;
}

// Prompt tokens that the upstream would have to read: the request's own, and
// shared ones that it does not hold.
UpstreamSelector::Prefill UpstreamSelector::PrefillOf(const State& state,
                                                      const ModelDemand& demand,
                                                      bool home) const {
  Prefill prefill;
  std::int64_t shared = 0;
  bool known = true;
  for (std::size_t i = 0; i + 1 < demand.parts.size(); ++i) {
    const PromptPart& part = demand.parts[i];
    shared += part.tokens;
    known = known && state.cache->Holds(part.id);
    if (known) continue;
    const double missing = home ? 1 - kHomeTrust : 1;
    prefill.shared +=
        static_cast<std::int64_t>(static_cast<double>(part.tokens) * missing);
  }
  prefill.own = std::max<std::int64_t>(1, demand.prompt_tokens - shared);
  return prefill;
}

// How long the engine reads until it has read all prompts that it was sent.
double UpstreamSelector::PrefillBacklogMs(const State& state,
                                          TimePoint now) const {
  const double own =
      static_cast<double>(state.prefill_tokens) * this->ms_per_token;
  const double peers =
      std::chrono::duration<double, std::milli>(state.peers_prefilled_at - now)
          .count();
  return own + std::max(0.0, peers);
}

// What a running stream loses while prompts of this time are read beside it.
double UpstreamSelector::StallCost(double prefill_ms, double target_ms) const {
  const double pauses = std::min(kMostPauses, prefill_ms / target_ms);
  return kPauseMs * pauses * pauses;
}

double UpstreamSelector::Cost(const State& state, const UpstreamEntry& upstream,
                              const SelectionCriteria& criteria, bool home,
                              TimePoint now) const {
  const bool reported = now - state.load_at < kLoadAge;
  std::int64_t running = state.in_flight;
  std::int64_t waiting = 0;
  if (reported) {
    running = std::max(running, state.load.running + state.sent_since_load);
    waiting = state.load.waiting;
  }
  const auto streams = static_cast<double>(running);
  double cost = streams * kRunningMs +
                static_cast<double>(waiting) * kWaitingMs +
                state.failure_rate * kFailureMs;
  if (upstream.availability_zone != this->availability_zone) cost += kZoneMs;
  const std::int64_t slots = std::max<std::int64_t>(1, upstream.slots);
  if (running >= slots) {
    cost += kFullMs * (1 + static_cast<double>(running - slots + waiting) /
                               static_cast<double>(slots));
  }
  if (criteria.demand == nullptr) return cost;
  const Prefill prefill = this->PrefillOf(state, *criteria.demand, home);
  const double before = this->PrefillBacklogMs(state, now);
  const double own =
      static_cast<double>(prefill.own + prefill.shared) * this->ms_per_token;
  const double target_ms = std::max(
      1.0,
      std::chrono::duration<double, std::milli>(criteria.target_pause).count());
  cost += before + own;
  cost +=
      static_cast<double>(prefill.shared) * this->ms_per_token * kRereadFactor;
  cost += streams * (this->StallCost(before + own, target_ms) -
                     this->StallCost(before, target_ms));
  const bool crowded = criteria.kv_capacity_tokens > 0 &&
                       state.held_tokens + criteria.demand->MaxTokens() >
                           criteria.kv_capacity_tokens;
  if (crowded) cost += kFullMs;
  return cost;
}

const UpstreamEntry* UpstreamSelector::Select(
    std::span<const UpstreamEntry* const> upstreams,
    const SelectionCriteria& criteria, std::span<const std::string> avoid,
    TimePoint now) {
  // Step 1: the upstream where the request's shared parts are at home.
  const std::optional<std::uint64_t> key = HomeKey(criteria.demand);
  const UpstreamEntry* home = key ? HomeOf(*key, upstreams) : nullptr;

  // Step 2: the cheapest upstream; ejected ones only when no other is left.
  const UpstreamEntry* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  bool best_ejected = true;
  for (const UpstreamEntry* upstream : upstreams) {
    if (std::find(avoid.begin(), avoid.end(), upstream->id) != avoid.end()) {
      continue;
    }
    const State& state = this->StateOf(upstream->id);
    const bool ejected = state.ejected_until > now;
    if (best != nullptr && ejected && !best_ejected) continue;
    const double cost =
        this->Cost(state, *upstream, criteria, upstream == home, now);
    const bool better =
        best == nullptr || (best_ejected && !ejected) || cost < best_cost;
    if (!better) continue;
    best = upstream;
    best_cost = cost;
    best_ejected = ejected;
  }
  return best;
}

SendRecord UpstreamSelector::OnSent(const UpstreamEntry& upstream,
                                    const ModelDemand* demand, TimePoint now) {
  State& state = this->StateOf(upstream.id);
  SendRecord record;
  record.upstream = upstream.id;
  record.sent_at = now;
  ++state.in_flight;
  ++state.sent_since_load;
  if (demand == nullptr) return record;
  const Prefill prefill = this->PrefillOf(state, *demand, false);
  record.prefill_tokens = prefill.own + prefill.shared;
  record.prefill_tokens_ahead = state.prefill_tokens;
  record.held_tokens = demand->MaxTokens();
  state.prefill_tokens += record.prefill_tokens;
  state.held_tokens += record.held_tokens;
  for (std::size_t i = 0; i + 1 < demand->parts.size(); ++i) {
    state.cache->Use(demand->parts[i]);
  }
  return record;
}

void UpstreamSelector::OnStarted(SendRecord& record, TimePoint now) {
  if (record.started) return;
  record.started = true;
  this->StateOf(record.upstream).prefill_tokens -= record.prefill_tokens;
  if (record.prefill_tokens < kLeastObserved) return;
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(now - record.sent_at).count();
  const double observed =
      elapsed_ms /
      static_cast<double>(record.prefill_tokens + record.prefill_tokens_ahead);
  const double weight =
      observed < this->ms_per_token ? kFasterWeight : kSlowerWeight;
  this->ms_per_token += weight * (observed - this->ms_per_token);
}

void UpstreamSelector::OnLoadReport(std::string_view upstream,
                                    const UpstreamLoad& load, TimePoint now) {
  State& state = this->StateOf(upstream);
  state.load = load;
  state.load_at = now;
  state.sent_since_load = 0;
}

void UpstreamSelector::OnPeerPrompt(std::string_view upstream,
                                    std::int64_t prefill_tokens,
                                    TimePoint now) {
  const auto found = this->states.find(std::string(upstream));
  if (found == this->states.end()) return;
  State& state = found->second;
  const std::chrono::duration<double, std::milli> reads(
      static_cast<double>(prefill_tokens) * this->ms_per_token);
  state.peers_prefilled_at = std::max(state.peers_prefilled_at, now) +
                             std::chrono::duration_cast<Duration>(reads);
}

void UpstreamSelector::OnEnded(const SendRecord& record, SendOutcome outcome,
                               TimePoint now) {
  State& state = this->StateOf(record.upstream);
  --state.in_flight;
  state.held_tokens -= record.held_tokens;
  if (!record.started) state.prefill_tokens -= record.prefill_tokens;
  if (outcome == SendOutcome::kAbandoned) return;
  const bool absent = outcome == SendOutcome::kUnreachable ||
                      outcome == SendOutcome::kNotListening ||
                      outcome == SendOutcome::kMisdirected;
  const bool failed = absent || outcome == SendOutcome::kBroken ||
                      outcome == SendOutcome::kSilent;
  state.failure_rate +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - state.failure_rate);
  if (!failed) {
    state.failures_in_a_row = 0;
    return;
  }
  ++state.failures_in_a_row;
  if (!absent && state.failures_in_a_row <= kFailuresBorne) return;
  const auto doublings =
      static_cast<unsigned>(std::min(state.failures_in_a_row, kMostDoublings));
  state.ejected_until = now + kFirstSuspension * (1U << doublings) / 2;
}

void UpstreamSelector::Forget(std::string_view upstream) {
  const auto found = this->states.find(std::string(upstream));
  if (found == this->states.end() || found->second.in_flight > 0) return;
  this->states.erase(found);
}

UpstreamSelector::Stats UpstreamSelector::StatsOf(
    std::string_view upstream) const {
  const auto found = this->states.find(std::string(upstream));
  if (found == this->states.end()) return {};
  return {found->second.in_flight, found->second.failure_rate};
}

}  // namespace hornbeamspool::policy
