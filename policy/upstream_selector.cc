#include "policy/upstream_selector.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "coordination/rendezvous.h"
#include "policy/balancing/candidate_order.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using std::chrono::duration;
using std::chrono::duration_cast;

// Costs are milliseconds of delay.

// Largest random addition, which spreads requests over equal upstreams: each VM
// and each request would otherwise prefer the same one. Less than any other
// difference between upstreams.
constexpr double kTieBreakMs = 1;
// Largest random part by which an advantage in speed is discounted. All VMs
// share their estimates, and would otherwise prefer the fastest upstream.
constexpr double kMaxSpeedDiscount = 0.3;
// About as many VMs take the low reported load of an upstream into account at a
// time: all have the same reports, and an upstream that becomes idle would
// otherwise get all requests until they hear from it again.
constexpr double kVmsThatSeeIdle = 8;

// Upstreams that one request considers in this VM's zone, and in others.
constexpr std::size_t kMaxOwnZone = 16;
constexpr std::size_t kMaxOtherZones = 8;

// Shorter prefills say too little about an engine's speed.
constexpr std::int64_t kMinObservedTokens = 2000;
// Streams with fewer events say too little about the time between events.
constexpr std::int64_t kMinObservedEvents = 3;
// A prefill that was queued behind others for longer says nothing.
constexpr double kMaxObservedBacklogMs = 20;

// An older report does not tell whether an upstream has spare capacity;
// upstreams answer several times a second.
constexpr Duration kMaxSpareCapacityReportAge = std::chrono::milliseconds(1000);

// Limit on a peer's report of a load, as a multiple of the upstream's slots.
constexpr std::int64_t kMaxReportedLoad = 4;

// Weight of the latest outcome in the moving average of failures.
constexpr double kFailureWeight = 0.15;

// Ejection time after the first failure; doubles with each consecutive one, up
// to `kMaxDoublings - 1` times.
constexpr Duration kBaseEjectionTime = std::chrono::milliseconds(300);
constexpr std::int64_t kMaxDoublings = 4;
// Consecutive failures that don't eject an upstream, unless it is unreachable.
constexpr std::int64_t kToleratedFailures = 2;

// Assumed hit rate of a shared part on its affinity upstream, where other VMs
// send it too, but which may have evicted it.
constexpr double kAffinityHitRate = 0.8;

double ToMs(Duration value) {
  return duration<double, std::milli>(value).count();
}

Duration FromMs(double ms) {
  return duration_cast<Duration>(duration<double, std::milli>(ms));
}

std::array<char, sizeof(std::uint64_t)> BytesOf(std::uint64_t value) {
  std::array<char, sizeof(value)> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(value & 0xffU);
    value >>= 8U;
  }
  return bytes;
}

// The part that determines a request's affinity: the last shared one. Empty
// when no part is shared.
std::optional<std::uint64_t> AffinityKey(const ModelDemand* demand) {
  if (demand == nullptr || demand->parts.size() < 2) return std::nullopt;
  return demand->parts[demand->parts.size() - 2].id;
}

// The upstream that all VMs prefer for the key, by rendezvous hashing. Uses
// `members` as a buffer.
const UpstreamEntry* AffinityUpstream(
    std::uint64_t key, std::span<const UpstreamEntry* const> upstreams,
    std::vector<std::string_view>& members) {
  members.clear();
  for (const UpstreamEntry* upstream : upstreams) {
    members.push_back(upstream->id);
  }
  const auto bytes = BytesOf(key);
  const auto owner =
      coordination::RendezvousOwner({bytes.data(), bytes.size()}, members);
  return owner ? upstreams[*owner] : nullptr;
}

// Two independent numbers from 0 to 1 for a request at an upstream.
struct Draws {
  double first = 0;
  double second = 0;
};

Draws DrawsOf(std::uint64_t instance, std::uint64_t seed) {
  // The finalizer of MurmurHash3.
  std::uint64_t mixed = instance ^ seed;
  mixed = (mixed ^ (mixed >> 33U)) * 0xff51afd7ed558ccdULL;
  mixed = (mixed ^ (mixed >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
  mixed ^= mixed >> 33U;
  constexpr double kRange = 4294967296.0;
  return {static_cast<double>(mixed >> 32U) / kRange,
          static_cast<double>(mixed & 0xffffffffU) / kRange};
}

// `value`, without a part of what it is below `mean`.
double Discounted(double value, double mean, double discount) {
  return value < mean ? value + (mean - value) * discount : value;
}

bool IsIn(std::span<const std::string> ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

UpstreamSelector::UpstreamSelector(std::string availability_zone)
    : availability_zone(std::move(availability_zone)) {}

UpstreamSelector::State* UpstreamSelector::FindState(
    std::string_view upstream) {
  const auto found = this->states.find(upstream);
  return found == this->states.end() ? nullptr : &found->second;
}

UpstreamSelector::State& UpstreamSelector::StateOf(
    const UpstreamEntry& upstream) {
  State* state = this->FindState(upstream.id);
  const bool known = state != nullptr &&
                     state->start_time_ms == upstream.start_time_ms &&
                     state->instance != 0;
  if (known) return *state;
  if (state == nullptr) {
    state = &this->states[upstream.id];
    state->cache = std::make_shared<PrefixCache>();
  }
  this->states_by_instance.erase(state->instance);
  state->instance = coordination::StableHash(upstream.InstanceId());
  state->start_time_ms = upstream.start_time_ms;
  state->service = &this->services[upstream.service];
  state->max_reported_load =
      kMaxReportedLoad * std::max<std::int64_t>(1, upstream.slots);
  state->load = {};
  state->speed = {};
  this->states_by_instance[state->instance] = state;
  return *state;
}

SendDemand UpstreamSelector::DemandOn(const State& state,
                                      const SelectionCriteria& criteria,
                                      bool has_affinity) const {
  SendDemand need;
  if (criteria.demand == nullptr) return need;
  const ModelDemand& demand = *criteria.demand;
  need.is_model_request = true;
  need.target_pause_ms = std::max(1.0, ToMs(criteria.target_pause));
  const std::int64_t per_event =
      std::max<std::int64_t>(1, criteria.tokens_per_event);
  need.events = std::ceil(static_cast<double>(demand.max_output_tokens) /
                          static_cast<double>(per_event));
  std::int64_t shared = 0;
  bool cached = true;
  const double miss_rate = has_affinity ? 1 - kAffinityHitRate : 1;
  for (std::size_t i = 0; i + 1 < demand.parts.size(); ++i) {
    const PromptPart& part = demand.parts[i];
    shared += part.tokens;
    cached = cached && state.cache->Contains(part.id);
    if (cached) continue;
    need.shared_tokens +=
        std::floor(static_cast<double>(part.tokens) * miss_rate);
  }
  need.own_tokens = static_cast<double>(
      std::max<std::int64_t>(1, demand.prompt_tokens - shared));
  return need;
}

UpstreamView UpstreamSelector::ViewOf(const State& state,
                                      const UpstreamEntry& upstream,
                                      const SelectionCriteria& criteria,
                                      const Perception& perception,
                                      TimePoint now) const {
  const ServiceRates& service = *state.service;
  const SlownessEstimate& slowness = state.speed.Slowness();
  double expected_slowness = slowness.Expected(now);
  UpstreamView view;
  view.load = state.load.Expected(service.MeanRunning(), now);
  if (!perception.uses_low_reports) {
    view.load.running = std::max(view.load.running, service.MeanRunning());
    expected_slowness = std::max(expected_slowness, slowness.Mean());
  }
  view.load.running =
      std::max(view.load.running, static_cast<double>(state.in_flight));
  const InstanceRates usual = state.speed.Rates(service, now);
  const double discount = perception.speed_discount;
  view.rates.prefill_ms_per_token =
      Discounted(usual.prefill_ms_per_token * expected_slowness,
                 service.PrefillMsPerToken(), discount);
  view.rates.event_ms = Discounted(usual.event_ms * expected_slowness,
                                   service.EventMs(), discount);
  view.rates.request_ms = Discounted(usual.request_ms * expected_slowness,
                                     service.RequestMs(), discount);
  view.peak_factor = std::max(1.0, slowness.Peak(now) / expected_slowness);
  view.backlog_ms = static_cast<double>(state.prefill_tokens) *
                        view.rates.prefill_ms_per_token +
                    std::max(0.0, ToMs(state.peer_prefill_done_at - now));
  view.slots = static_cast<double>(std::max<std::int64_t>(1, upstream.slots));
  view.failure_rate = state.failure_rate;
  view.other_zone = upstream.availability_zone != this->availability_zone;
  view.kv_cache_full = criteria.demand != nullptr &&
                       criteria.kv_capacity_tokens > 0 &&
                       state.kv_tokens + criteria.demand->MaxTokens() >
                           criteria.kv_capacity_tokens;
  return view;
}

const UpstreamEntry* UpstreamSelector::Select(
    std::span<const UpstreamEntry* const> upstreams,
    const SelectionCriteria& criteria, std::span<const std::string> excluded,
    TimePoint now) {
  // Step 1: the affinity upstream, which likely has the shared parts cached.
  const std::optional<std::uint64_t> key = AffinityKey(criteria.demand);
  const UpstreamEntry* affinity =
      key ? AffinityUpstream(*key, upstreams, this->member_ids) : nullptr;
  const std::uint64_t seed = coordination::StableHash(criteria.request_id);

  // Step 2: the cheapest candidate; ejected ones only when no other is left.
  const UpstreamEntry* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  bool best_ejected = true;
  // Without the size of the fleet, each upstream may have a VM of its own.
  const auto vms = this->fleet_size > 0
                       ? this->fleet_size
                       : static_cast<std::int64_t>(upstreams.size());
  const double seen_idle = kVmsThatSeeIdle / static_cast<double>(vms);
  const auto consider = [&](const UpstreamEntry& upstream) {
    const State& state = this->StateOf(upstream);
    const bool ejected = state.ejected_until > now;
    if (best != nullptr && ejected && !best_ejected) return false;
    const Draws draws = DrawsOf(state.instance, seed);
    const Perception perception{draws.first < seen_idle,
                                draws.second * kMaxSpeedDiscount};
    const double cost =
        SendCost(this->ViewOf(state, upstream, criteria, perception, now),
                 this->DemandOn(state, criteria, &upstream == affinity),
                 *state.service) +
        kTieBreakMs * draws.second;
    const bool better =
        best == nullptr || (best_ejected && !ejected) || cost < best_cost;
    if (better) {
      best = &upstream;
      best_cost = cost;
      best_ejected = ejected;
    }
    return !ejected;
  };
  if (affinity != nullptr && !IsIn(excluded, affinity->id)) consider(*affinity);
  std::size_t own_zone = 0;
  std::size_t other_zones = 0;
  CandidateOrder order(upstreams.size(), seed);
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const UpstreamEntry& upstream = *upstreams[order.Next()];
    const bool is_own = upstream.availability_zone == this->availability_zone;
    if (is_own ? own_zone == kMaxOwnZone : other_zones == kMaxOtherZones) {
      continue;
    }
    if (&upstream == affinity || IsIn(excluded, upstream.id)) continue;
    if (consider(upstream)) ++(is_own ? own_zone : other_zones);
    if (own_zone == kMaxOwnZone && other_zones == kMaxOtherZones) break;
  }
  return best;
}

UpstreamForecast UpstreamSelector::Forecast(const UpstreamEntry& upstream,
                                            const SelectionCriteria& criteria,
                                            TimePoint now) const {
  UpstreamForecast forecast;
  const auto found = this->states.find(upstream.id);
  if (found == this->states.end()) return forecast;
  const State& state = found->second;
  if (state.start_time_ms != upstream.start_time_ms) return forecast;
  const UpstreamView view = this->ViewOf(state, upstream, criteria, {}, now);
  const SendDemand demand = this->DemandOn(state, criteria, false);
  const double later_events = std::max(0.0, demand.events - 1);
  const double answer_ms = demand.is_model_request
                               ? later_events * view.rates.event_ms
                               : view.rates.request_ms;
  // Requests that must end before this one gets a slot, one after another on
  // all slots.
  const double ahead =
      std::max(0.0, view.load.running + 1 - view.slots) + view.load.waiting;
  double first_event_ms = ahead / view.slots * answer_ms;
  double completion_ms = first_event_ms + answer_ms;
  if (demand.is_model_request) {
    const double prefill_ms = view.backlog_ms + view.rates.event_ms +
                              (demand.own_tokens + demand.shared_tokens) *
                                  view.rates.prefill_ms_per_token;
    first_event_ms += prefill_ms;
    completion_ms += prefill_ms;
  } else {
    first_event_ms = completion_ms;
  }
  forecast.first_event = FromMs(first_event_ms);
  forecast.completion = FromMs(completion_ms);
  // The mean of other upstreams, or what has aged, doesn't show a queue.
  constexpr double kQueuedRequest = 0.5;
  const bool running_known =
      state.load.Last().has_value() || state.in_flight >= upstream.slots;
  const bool queues = running_known && (view.load.running >= view.slots ||
                                        view.load.waiting >= kQueuedRequest);
  forecast.has_slot = !queues && !view.kv_cache_full;
  return forecast;
}

SendRecord UpstreamSelector::OnSent(const UpstreamEntry& upstream,
                                    const ModelDemand* demand, TimePoint now) {
  State& state = this->StateOf(upstream);
  SendRecord record;
  record.upstream = upstream.id;
  record.instance = state.instance;
  record.sent_at = now;
  SelectionCriteria criteria;
  criteria.demand = demand;
  const UpstreamView view = this->ViewOf(state, upstream, criteria, {}, now);
  const double peers_ms = ToMs(state.peer_prefill_done_at - now);
  record.waits_ahead = view.load.running >= view.slots ||
                       view.load.waiting >= 1 ||
                       peers_ms > kMaxObservedBacklogMs;
  ++state.in_flight;
  state.load.OnSent();
  if (demand == nullptr) return record;
  const SendDemand need = this->DemandOn(state, criteria, false);
  record.is_model_request = true;
  record.own_tokens = static_cast<std::int64_t>(need.own_tokens);
  record.prefill_tokens =
      static_cast<std::int64_t>(need.own_tokens + need.shared_tokens);
  record.prefill_tokens_ahead = state.prefill_tokens;
  record.kv_tokens = demand->MaxTokens();
  state.prefill_tokens += record.prefill_tokens;
  state.kv_tokens += record.kv_tokens;
  for (std::size_t i = 0; i + 1 < demand->parts.size(); ++i) {
    state.cache->Touch(demand->parts[i]);
  }
  return record;
}

void UpstreamSelector::OnStarted(SendRecord& record, TimePoint now) {
  if (record.started) return;
  record.started = true;
  record.started_at = now;
  State* state = this->FindState(record.upstream);
  if (state == nullptr) return;
  state->prefill_tokens -= record.prefill_tokens;
  const bool learns = !record.waits_ahead && state->instance == record.instance;
  if (learns) this->LearnFromStart(record, *state, now);
}

void UpstreamSelector::LearnFromStart(const SendRecord& record, State& state,
                                      TimePoint now) {
  ServiceRates& service = *state.service;
  const double elapsed_ms = ToMs(now - record.sent_at);
  if (!record.is_model_request) {
    if (elapsed_ms > 0) state.speed.OnRequest(elapsed_ms, service, now);
    return;
  }
  if (record.prefill_tokens < kMinObservedTokens) return;
  // The first event follows the prefill by the time of one event.
  const double event_ms = state.speed.Rates(service, now).event_ms *
                          state.speed.Slowness().Expected(now);
  constexpr double kMinPrefillPart = 0.3;
  const double prefill_ms =
      std::max(elapsed_ms - event_ms, elapsed_ms * kMinPrefillPart);
  const auto ahead = static_cast<double>(record.prefill_tokens_ahead);
  state.speed.OnPrefill(
      prefill_ms, static_cast<double>(record.own_tokens) + ahead,
      static_cast<double>(record.prefill_tokens) + ahead, service, now);
}

void UpstreamSelector::OnLoadReport(std::string_view upstream,
                                    const UpstreamLoad& load, TimePoint now) {
  State* state = this->FindState(upstream);
  if (state == nullptr || state->instance == 0) return;
  state->load.OnReport(load, now);
  state->service->OnRunning(static_cast<double>(load.running));
  if (load.slowness) state->speed.OnSlowness(*load.slowness, now);
}

void UpstreamSelector::OnPeerPrefill(std::string_view upstream,
                                     std::int64_t prefill_tokens,
                                     TimePoint now) {
  State* state = this->FindState(upstream);
  if (state == nullptr || state->instance == 0) return;
  const double prefill_ms =
      static_cast<double>(prefill_tokens) *
      state->speed.Rates(*state->service, now).prefill_ms_per_token *
      state->speed.Slowness().Expected(now);
  state->peer_prefill_done_at =
      std::max(state->peer_prefill_done_at, now) + FromMs(prefill_ms);
}

void UpstreamSelector::OnEnded(const SendRecord& record, SendOutcome outcome,
                               TimePoint now, std::int64_t events) {
  State* found = this->FindState(record.upstream);
  if (found == nullptr) return;
  State& state = *found;
  --state.in_flight;
  state.kv_tokens -= record.kv_tokens;
  if (!record.started) state.prefill_tokens -= record.prefill_tokens;
  // Forgotten while requests were in flight, of which this was the last one.
  if (state.instance == 0 && state.in_flight == 0) {
    this->states.erase(record.upstream);
    return;
  }
  const bool says_nothing =
      outcome == SendOutcome::kAbandoned || outcome == SendOutcome::kWithheld;
  if (says_nothing) return;
  const bool unreachable = outcome == SendOutcome::kUnreachable ||
                           outcome == SendOutcome::kNotListening ||
                           outcome == SendOutcome::kMisdirected;
  const bool failed = unreachable || outcome == SendOutcome::kBroken ||
                      outcome == SendOutcome::kSilent;
  state.failure_rate +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - state.failure_rate);
  const bool shows_events =
      outcome == SendOutcome::kAnswered && record.is_model_request &&
      record.started && events >= kMinObservedEvents &&
      now > record.started_at && state.instance == record.instance;
  if (shows_events) {
    state.speed.OnEvents(
        ToMs(now - record.started_at) / static_cast<double>(events - 1),
        *state.service, now);
  }
  if (!failed) {
    state.consecutive_failures = 0;
    return;
  }
  ++state.consecutive_failures;
  if (!unreachable && state.consecutive_failures <= kToleratedFailures) return;
  const auto doublings = static_cast<unsigned>(
      std::min(state.consecutive_failures, kMaxDoublings));
  state.ejected_until = now + kBaseEjectionTime * (1U << doublings) / 2;
}

void UpstreamSelector::Forget(std::string_view upstream) {
  const auto found = this->states.find(upstream);
  if (found == this->states.end()) return;
  State& state = found->second;
  this->states_by_instance.erase(state.instance);
  if (state.in_flight == 0) {
    this->states.erase(found);
    return;
  }
  state.instance = 0;
  state.load = {};
  state.speed = {};
}

SpeedMessage UpstreamSelector::ReportForPeers(TimePoint now) {
  SpeedMessage message;
  std::vector<SpeedNotice> speeds;
  for (const auto& [instance, state] : this->states_by_instance) {
    const Duration age = now - state->load.LastAt();
    if (state->load.Last() && age <= kMaxLoadNoticeAge) {
      message.loads.push_back({instance, *state->load.Last(), age});
    }
    SpeedNotice notice{instance, state->speed.OwnReport(now)};
    if (notice.report.Any()) speeds.push_back(notice);
  }
  std::sort(message.loads.begin(), message.loads.end(),
            [](const LoadNotice& a, const LoadNotice& b) {
              return std::pair(a.age, a.instance) <
                     std::pair(b.age, b.instance);
            });
  if (message.loads.size() > kMaxLoadNotices) {
    message.loads.resize(kMaxLoadNotices);
  }
  std::sort(speeds.begin(), speeds.end(),
            [](const SpeedNotice& a, const SpeedNotice& b) {
              return a.instance < b.instance;
            });
  const std::size_t count = std::min(kMaxSpeedNotices, speeds.size());
  for (std::size_t i = 0; i < count; ++i) {
    message.speeds.push_back(
        speeds[this->next_reported_speed++ % speeds.size()]);
  }
  return message;
}

std::int64_t UpstreamSelector::OnPeerReport(const SpeedMessage& message,
                                            TimePoint now) {
  std::int64_t known = 0;
  for (const LoadNotice& notice : message.loads) {
    const auto found = this->states_by_instance.find(notice.instance);
    if (found == this->states_by_instance.end()) continue;
    ++known;
    State& state = *found->second;
    const TimePoint taken_at = now - std::max(notice.age, Duration(0));
    UpstreamLoad load = notice.load;
    const std::int64_t max = state.max_reported_load;
    load.running = std::clamp<std::int64_t>(load.running, 0, max);
    load.waiting = std::clamp<std::int64_t>(load.waiting, 0, max);
    if (!state.load.OnReport(load, taken_at)) continue;
    state.service->OnRunning(static_cast<double>(load.running));
    if (load.slowness) state.speed.OnSlowness(*load.slowness, taken_at);
  }
  for (const SpeedNotice& notice : message.speeds) {
    const auto found = this->states_by_instance.find(notice.instance);
    if (found == this->states_by_instance.end()) continue;
    ++known;
    State& state = *found->second;
    state.speed.OnPeerReport(notice.report, *state.service, now);
  }
  return known;
}

std::optional<bool> UpstreamSelector::HasSpareCapacity(
    const UpstreamEntry& upstream, TimePoint now) const {
  const auto found = this->states.find(upstream.id);
  if (found == this->states.end()) return std::nullopt;
  const State& state = found->second;
  const bool full = state.in_flight >= upstream.slots;
  if (state.ejected_until > now || full) return false;
  const std::optional<UpstreamLoad>& load = state.load.Last();
  const bool recent =
      load && now - state.load.LastAt() < kMaxSpareCapacityReportAge;
  if (!recent) return std::nullopt;
  const std::int64_t running =
      std::max(state.in_flight, load->running + state.load.SentSince());
  return load->waiting == 0 && running < upstream.slots;
}

UpstreamSelector::Stats UpstreamSelector::StatsOf(
    std::string_view upstream) const {
  const auto found = this->states.find(upstream);
  if (found == this->states.end()) return {};
  return {found->second.in_flight, found->second.failure_rate};
}

std::vector<SpeedStats> UpstreamSelector::AllSpeeds(TimePoint now) const {
  std::vector<SpeedStats> all;
  for (const auto& [id, state] : this->states) {
    if (state.instance == 0) continue;
    all.push_back({id, state.speed.Rates(*state.service, now),
                   state.speed.Slowness().Expected(now)});
  }
  return all;
}

}  // namespace hornbeamspool::policy
