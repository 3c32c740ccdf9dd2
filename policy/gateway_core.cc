#include "policy/gateway_core.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"
#include "policy/announced_backoff.h"
#include "policy/overload/overload_input.h"
#include "policy/overload/shed_refusal.h"
#include "policy/warmup/warm_preference.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Values of Retry-After before jitter: while no confirmed configuration is
// loaded, and when no upstream is available.
constexpr Duration kRetryNotReady = std::chrono::milliseconds(500);
constexpr Duration kRetryUpstream = std::chrono::milliseconds(700);

// With less time left until the deadline, a send would waste the upstream's
// work.
constexpr Duration kMinTimeLeft = std::chrono::milliseconds(20);

// Limit on the sends of one request that don't execute. They are safe to retry,
// but each costs the caller time.
constexpr std::int64_t kMaxRejectedSends = 3;

// A refused connection that no success to another upstream has followed by then
// is no evidence.
constexpr Duration kMaxRefusalAge = std::chrono::seconds(2);

// Fraction of the process's memory for buffered answers, as a divisor.
constexpr std::int64_t kAnswerBufferDivisor = 8;

// VMs that may have joined without being known yet, in the division of an
// upstream's connections.
constexpr std::int64_t kUnknownVms = 3;

// Besides an even share, each VM may use 1/6 of an upstream's connections: six
// busy VMs at once are rare.
constexpr std::int64_t kBurstDivisor = 6;

// The parts of the prompt that other requests may share.
std::vector<std::uint64_t> SharedParts(std::span<const PromptPart> parts) {
  std::vector<std::uint64_t> shared;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    PoisonParts::AddPart(shared, parts[i].id);
  }
  return shared;
}

// The identity of a send for the counts of version rollouts.
VersionRollouts::Send RolloutSend(const AdmittedRequest& admitted,
                                  const SendPlan& plan) {
  return {admitted.service->name, admitted.route->name, plan.upstream.version,
          plan.record.sent_at};
}

}  // namespace

GatewayCore::GatewayCore(GatewayOptions options, ProcessStart start)
    : options(std::move(options)),
      selector(this->options.availability_zone),
      budgets(start, this->options.budgets),
      rollouts(start.incarnation, this->options.exposure),
      poison_parts(this->options.vm),
      rate_limits(this->options.vm),
      cold_upstreams(this->rate_limits, this->options.warmup),
      brittle_upstreams(this->options.vm),
      backoff(this->options.vm),
      link(this->options.link_bytes_per_second),
      overload(this->options.overload, this->options.link_bytes_per_second,
               start.incarnation),
      answer_buffers(this->options.memory_bytes / kAnswerBufferDivisor) {}

bool GatewayCore::SetConfig(GatewayConfig config) {
  if (this->table && config.version <= this->table->Config().version) {
    return false;
  }
  this->table = std::make_shared<const RouteTable>(std::move(config));
  this->cold_upstreams.SetServices(this->table->Config().services);
  for (const GatewayOrganisation& organisation :
       this->table->Config().organisations) {
    if (!organisation.prepaid) continue;
    this->budgets.SetPrepaid(organisation.name, *organisation.prepaid);
  }
  return true;
}

std::variant<Refusal, AdmittedRequest> GatewayCore::Admit(
    GatewayRequest request, TimePoint now) {
  if (!this->table) {
    return Refusal{ErrorKind::kNotReady, AddJitter(kRetryNotReady, request.id)};
  }
  AdmittedRequest admitted;
  admitted.table = this->table;
  admitted.arrived = now;

  // Step 1: the route. An unknown route may be newer than this configuration,
  // unless the store has just confirmed the configuration.
  admitted.route = admitted.table->FindRoute(request.host, request.path);
  if (admitted.route == nullptr) {
    if (this->config_confirmed) return Refusal{ErrorKind::kNotFound, {}};
    return Refusal{ErrorKind::kNotReady, AddJitter(kRetryNotReady, request.id)};
  }

  // Step 2: the API key.
  if (admitted.table->NeedsKeys() && !admitted.route->is_public) {
    admitted.organisation = admitted.table->FindOrganisation(request.key);
    if (admitted.organisation == nullptr) {
      const bool final = this->config_confirmed || request.key.empty();
      if (final) return Refusal{ErrorKind::kUnauthenticated, {}};
      return Refusal{ErrorKind::kNotReady,
                     AddJitter(kRetryNotReady, request.id)};
    }
  }

  // Step 3: requests that may crash upstreams.
  admitted.shared_parts = SharedParts(request.Parts());
  if (this->IsCrashing(request.fingerprint, admitted.shared_parts, now)) {
    return this->RefuseCrashing(request.fingerprint, admitted.shared_parts,
                                now);
  }

  // Step 4: load shedding. Other VMs may have room.
  admitted.service =
      this->ChooseService(*admitted.table, *admitted.route, request);
  const OverloadRequest arrival = DescribeArrival(
      *admitted.route, admitted.organisation, admitted.service, request);
  const OverloadDecision decision =
      this->overload.DecideAtVm(arrival, this->link.QueueDelay(now), now);
  if (decision.kind == OverloadDecision::Kind::kRefuse) {
    Refusal refusal = ShedRefusal(arrival, decision);
    refusal.fields = NameFields(arrival) + ' ' + refusal.fields;
    return refusal;
  }

  // Step 5: the service and the deadline.
  if (admitted.service == nullptr) {
    return Refusal{ErrorKind::kNoUpstream,
                   AddJitter(kRetryUpstream, request.id)};
  }
  if (auto refusal = this->BackoffRefusal(*admitted.service, request.id, now)) {
    return *refusal;
  }
  admitted.deadline =
      now + std::min(request.caller_timeout, admitted.route->timeout);
  admitted.request = std::move(request);
  this->RetryBudgetOf(admitted.service->name).RecordRequest(now);
  ++this->in_flight;
  return admitted;
}

// Whether a request must not be sent now because it may crash upstreams.
bool GatewayCore::IsCrashing(std::uint64_t fingerprint,
                             std::span<const std::uint64_t> parts,
                             TimePoint now) {
  return !this->suspects.MaySend(fingerprint, now) ||
         !this->poison_parts.MaySend(parts, now);
}

// A request is refused until the suspicion expires, or its named part is
// forgotten. One that is refused only because a copy of it is in flight here
// may be retried soon.
Refusal GatewayCore::RefuseCrashing(std::uint64_t fingerprint,
                                    std::span<const std::uint64_t> parts,
                                    TimePoint now) {
  if (!this->suspects.MaySend(fingerprint, now)) {
    const bool suspect = this->suspects.IsSuspect(fingerprint, now);
    if (suspect) this->suspects.OnRefused(fingerprint, now);
    return {ErrorKind::kCrashSuspect,
            suspect ? CrashSuspects::kSuspicionTimeout : kRetryUpstream};
  }
  this->poison_parts.OnRefused(parts, now);
  return {ErrorKind::kPoisonPart, PoisonParts::kTimeout,
          this->poison_parts.NamedPart(parts)};
}

const Service* GatewayCore::ChooseService(const RouteTable& table,
                                          const Route& route,
                                          const GatewayRequest& request) const {
  std::int64_t total = 0;
  for (const ServiceShare& share : route.shares) total += share.weight;
  if (total <= 0) return nullptr;
  const auto point = static_cast<std::int64_t>(
      coordination::StableHash(request.id) % static_cast<std::uint64_t>(total));
  std::int64_t cumulative = 0;
  for (const ServiceShare& share : route.shares) {
    cumulative += share.weight;
    if (point < cumulative) return table.FindService(share.service);
  }
  return nullptr;
}

BudgetVerdict GatewayCore::ReserveBudget(AdmittedRequest& admitted,
                                         TimePoint now) {
  const bool no_budget = admitted.organisation == nullptr ||
                         !admitted.organisation->prepaid ||
                         !admitted.request.demand;
  if (no_budget) return BudgetVerdict::kReserved;
  const std::int64_t amount = admitted.request.demand->MaxTokens();
  const BudgetVerdict verdict = this->budgets.Reserve(
      admitted.organisation->name, amount, now, admitted.source);
  if (verdict == BudgetVerdict::kReserved) admitted.reserved = amount;
  return verdict;
}

WindowedRetryBudget& GatewayCore::RetryBudgetOf(const std::string& service) {
  return this->retry_budgets.try_emplace(service, this->options.retries)
      .first->second;
}

NextStep GatewayCore::WaitOrRefuse(const AdmittedRequest& admitted,
                                   PermitFilter& filter) const {
  // A stream that goes on is due since its last event.
  const TimePoint due_since =
      admitted.started ? admitted.last_event_at : admitted.arrived;
  const PermitFilter::Outcome outcome = filter.Decide(
      due_since, admitted.route->target_latency, admitted.deadline);
  if (outcome.waits) return PermitWait{outcome.retry_at};
  filter.CountRefusal();
  if (admitted.possible_runs > 0) {
    return Refusal{ErrorKind::kUpstreamFailed, {}};
  }
  return Refusal{ErrorKind::kUpstreamRateLimited,
                 AddJitter(outcome.retry_after, admitted.request.id)};
}

std::optional<Refusal> GatewayCore::BackoffRefusal(const Service& service,
                                                   std::string_view request_id,
                                                   TimePoint now) const {
  if (this->backoff.Empty()) return std::nullopt;
  const std::vector<const UpstreamEntry*> usable =
      this->upstreams.Usable(service.name, now);
  if (usable.empty()) return std::nullopt;
  // Without the end of a pause, a new upstream may come at any time.
  Duration retry_after = kMaxPause;
  bool pauses = false;
  for (const UpstreamEntry* upstream : usable) {
    const std::string instance = upstream->InstanceId();
    if (this->backoff.MayChoose(this->options.vm, instance, now)) {
      return std::nullopt;
    }
    if (this->backoff.IsLeaving(instance, now)) continue;
    pauses = true;
    const TimePoint until =
        this->backoff.PausedUntil(this->options.vm, instance, now);
    retry_after = std::min(retry_after, std::max(kRetryUpstream, until - now));
  }
  return Refusal{ErrorKind::kUpstreamBackoff,
                 AddJitter(pauses ? retry_after : kRetryUpstream, request_id)};
}

NextStep GatewayCore::NextSend(AdmittedRequest& admitted, TimePoint now) {
  const std::uint64_t fingerprint = admitted.request.fingerprint;
  if (this->IsCrashing(fingerprint, admitted.shared_parts, now)) {
    if (admitted.possible_runs > 0) {
      return Refusal{ErrorKind::kUpstreamFailed, {}};
    }
    return this->RefuseCrashing(fingerprint, admitted.shared_parts, now);
  }
  const Duration time_left = admitted.deadline - now;
  if (time_left < kMinTimeLeft) {
    const ErrorKind kind = admitted.possible_runs > 0
                               ? ErrorKind::kUpstreamTimeout
                               : ErrorKind::kNoUpstream;
    return Refusal{kind, AddJitter(kRetryUpstream, admitted.request.id)};
  }
  PermitFilter filter(this->rate_limits, admitted.permits, now,
                      &this->cold_upstreams);
  std::vector<const UpstreamEntry*> upstreams =
      this->PermittedUpstreams(admitted, true, filter, now);
  // A canary whose upstreams are at their limits goes to the old version.
  if (upstreams.empty() && admitted.use_new_version) {
    upstreams = this->PermittedUpstreams(admitted, false, filter, now);
  }
  SelectionCriteria criteria;
  if (admitted.request.demand) criteria.demand = &*admitted.request.demand;
  if (admitted.service->engine) {
    criteria.kv_capacity_tokens = admitted.service->engine->kv_capacity_tokens;
    criteria.tokens_per_event = admitted.service->engine->max_tokens_per_event;
  }
  criteria.target_pause = admitted.route->target_pause;
  criteria.request_id = admitted.request.id;
  const UpstreamEntry* upstream = this->selector.Select(
      upstreams, criteria, admitted.failed_upstreams, now);
  if (upstream == nullptr && filter.Excluded()) {
    return this->WaitOrRefuse(admitted, filter);
  }
  if (upstream == nullptr) {
    const Duration retry_after = AddJitter(kRetryUpstream, admitted.request.id);
    if (admitted.possible_runs > 0) {
      return Refusal{ErrorKind::kUpstreamFailed, retry_after};
    }
    return this->BackoffRefusal(*admitted.service, admitted.request.id, now)
        .value_or(Refusal{ErrorKind::kNoUpstream, retry_after});
  }
  if (auto step = this->YieldToOthers(admitted, *upstream, criteria, now)) {
    return *std::move(step);
  }
  const std::string instance = upstream->InstanceId();
  if (auto missing = filter.MissingPermit(instance)) {
    ++admitted.permits.requests;
    return PermitRequest{std::move(missing->key), std::move(missing->issuer)};
  }
  if (admitted.sends > 0 && !this->RetryBudgetOf(admitted.service->name)
                                 .TryWithdraw(this->fleet_size, now)) {
    const ErrorKind kind = admitted.possible_runs > 0
                               ? ErrorKind::kUpstreamFailed
                               : ErrorKind::kNoUpstream;
    return Refusal{kind, AddJitter(kRetryUpstream, admitted.request.id)};
  }
  filter.TakeOwn(instance);
  admitted.permits.Clear();
  ++admitted.sends;
  SendPlan plan;
  plan.upstream = *upstream;
  plan.time_left = time_left;
  plan.events_before = admitted.events_delivered;
  plan.urgency = PriorityOf(*admitted.route, admitted.organisation);
  plan.max_connections = this->MaxConnections(*admitted.service);
  plan.fresh_connection =
      !admitted.route->MayRepeat() &&
      this->unnamed_rejections.AreExpected(admitted.service->name, now);
  plan.record = this->selector.OnSent(*upstream, criteria.demand, now);
  this->backoff.OnSent(instance, upstream->slots, now);
  this->suspects.OnSent(fingerprint, instance);
  this->poison_parts.OnSent(admitted.shared_parts, instance,
                            plan.record.sent_at);
  plan.rollout_revision = this->rollouts.OnSent(RolloutSend(admitted, plan));
  return plan;
}

// The eligible upstreams that their rate limits leave. A permit that the
// request holds decides the upstream.
std::vector<const UpstreamEntry*> GatewayCore::PermittedUpstreams(
    AdmittedRequest& admitted, bool may_be_canary, PermitFilter& filter,
    TimePoint now) {
  std::vector<const UpstreamEntry*> eligible =
      this->EligibleUpstreams(admitted, may_be_canary, now);
  if (!this->rate_limits.AnyLimited()) return eligible;
  const auto& failed = admitted.failed_upstreams;
  std::vector<const UpstreamEntry*> permitted;
  for (const UpstreamEntry* upstream : eligible) {
    if (std::find(failed.begin(), failed.end(), upstream->id) != failed.end()) {
      continue;
    }
    const std::string instance = upstream->InstanceId();
    if (!filter.Allows(instance)) continue;
    if (filter.HoldsPermit(instance)) return {upstream};
    permitted.push_back(upstream);
  }
  if (PreferWarm(this->cold_upstreams, this->selector, permitted, now)) {
    filter.ForgetColdExclusions();
  }
  return permitted;
}

// The usable upstreams of the request's service whose version is allowed for
// it. Only those of the preferred version while one of them has not failed yet.
std::vector<const UpstreamEntry*> GatewayCore::EligibleUpstreams(
    AdmittedRequest& admitted, bool may_be_canary, TimePoint now) {
  const std::string& service = admitted.service->name;
  std::vector<const UpstreamEntry*> upstreams =
      this->upstreams.Usable(service, now);
  if (!this->backoff.Empty()) {
    std::erase_if(upstreams, [this, now](const UpstreamEntry* upstream) {
      return !this->backoff.MayChoose(this->options.vm, upstream->InstanceId(),
                                      now);
    });
  }
  if (this->brittle_upstreams.Any()) {
    std::erase_if(upstreams, [this, now](const UpstreamEntry* upstream) {
      const std::int64_t in_flight =
          this->selector.StatsOf(upstream->id).in_flight;
      return !this->brittle_upstreams.MaySend(*upstream, in_flight, now);
    });
  }
  if (this->rollouts.Find(service) == nullptr) return upstreams;
  // Retries don't go to a canary.
  admitted.use_new_version =
      may_be_canary && admitted.sends == 0 &&
      this->rollouts.UsesNewVersion(service, admitted.route->name, now);
  std::vector<const UpstreamEntry*> preferred;
  std::vector<const UpstreamEntry*> allowed;
  for (const UpstreamEntry* upstream : upstreams) {
    const VersionRollouts::Eligibility eligibility =
        this->rollouts.EligibilityOf(service, upstream->version,
                                     admitted.use_new_version);
    if (eligibility == VersionRollouts::Eligibility::kForbidden) continue;
    allowed.push_back(upstream);
    const bool failed =
        std::find(admitted.failed_upstreams.begin(),
                  admitted.failed_upstreams.end(),
                  upstream->id) != admitted.failed_upstreams.end();
    if (eligibility == VersionRollouts::Eligibility::kPreferred && !failed) {
      preferred.push_back(upstream);
    }
  }
  return preferred.empty() ? allowed : preferred;
}

void GatewayCore::ReportToRollout(const AdmittedRequest& admitted,
                                  const SendPlan& plan, SendOutcome outcome,
                                  TimePoint now) {
  VersionRollouts::EndedSend ended;
  ended.send = RolloutSend(admitted, plan);
  ended.revision = plan.rollout_revision;
  ended.ended_at = now;
  ended.events = admitted.events_delivered - plan.events_before;
  if (outcome == SendOutcome::kAnswered) {
    ended.outcome = VersionRollouts::Outcome::kAnswered;
  } else if (outcome == SendOutcome::kUpstreamError ||
             outcome == SendOutcome::kErrorRelayed ||
             ((outcome == SendOutcome::kBroken ||
               outcome == SendOutcome::kSilent) &&
              !this->uplink.IsCutOff())) {
    ended.outcome = VersionRollouts::Outcome::kFailed;
  } else if (outcome == SendOutcome::kAbandoned) {
    ended.outcome = VersionRollouts::Outcome::kAbandoned;
  }
  ended.arrived = outcome == SendOutcome::kAnswered ||
                  outcome == SendOutcome::kUpstreamError ||
                  outcome == SendOutcome::kErrorRelayed ||
                  outcome == SendOutcome::kRejected;
  this->rollouts.OnEnded(ended);
}

// Connection limit of this VM to one upstream of the service. All VMs share the
// upstream's limit, but not evenly: the load balancer sends most callers of an
// availability zone to a few VMs.
std::size_t GatewayCore::MaxConnections(const Service& service) const {
  if (service.max_connections <= 0) return SIZE_MAX;
  const std::int64_t even_share =
      this->fleet_size == 0
          ? 0
          : service.max_connections / (this->fleet_size + kUnknownVms);
  const std::int64_t burst = service.max_connections / kBurstDivisor;
  return static_cast<std::size_t>(
      std::max<std::int64_t>(1, even_share + burst));
}

// An entry that is removed while the upstream was not draining indicates a
// crash, unless the store was unreachable: then the entries of live upstreams
// lapse too.
void GatewayCore::OnUpstreamRemoved(std::string_view id, TimePoint now) {
  const UpstreamEntry* entry = this->upstreams.Find(id);
  if (entry == nullptr || this->upstreams.RemovalIsUncertain(now)) return;
  this->OnUpstreamDown(*entry, now);
}

void GatewayCore::OnUpstreamDown(const UpstreamEntry& entry, TimePoint now) {
  const UpstreamEntry* known = this->upstreams.Find(entry.id);
  const bool shuts_down = entry.draining ||
                          (known != nullptr && known->draining) ||
                          this->backoff.IsLeaving(entry.InstanceId(), now);
  if (shuts_down) return;
  this->suspects.OnCrash(entry.InstanceId(), now);
  this->poison_parts.OnCrash(entry.InstanceId(), now);
}

void GatewayCore::OnConnect(const UpstreamEntry& entry, bool reached,
                            TimePoint now) {
  this->uplink.OnConnect(entry.id, reached, now);
  const auto pending = std::exchange(this->refusals, {});
  for (const auto& [refused, at] : pending) {
    if (now - at > kMaxRefusalAge || this->uplink.IsCutOff()) continue;
    if (this->uplink.ReachedAnother(refused.id, at)) {
      this->OnUpstreamDown(refused, now);
    } else {
      this->refusals.emplace_back(refused, at);
    }
  }
}

void GatewayCore::OnUpstreamRefused(const UpstreamEntry& entry, TimePoint now) {
  if (!this->uplink.InUse()) {
    this->OnUpstreamDown(entry, now);
    return;
  }
  if (!this->uplink.IsCutOff()) this->refusals.emplace_back(entry, now);
}

std::vector<std::string> GatewayCore::ExpireUpstreams(TimePoint now) {
  if (!this->rate_limits.Empty() || !this->backoff.Empty()) {
    std::set<std::string, std::less<>> live;
    for (const UpstreamEntry* entry : this->upstreams.All()) {
      live.insert(entry->InstanceId());
      live.insert(ColdUpstreams::PermitKey(entry->InstanceId()));
    }
    this->rate_limits.Prune(live, now);
    this->backoff.Prune(live, now);
  }
  if (this->upstreams.RemovalIsUncertain(now)) {
    this->suspects.ExtendIncompleteAnswers(now);
    this->poison_parts.ExtendIncompleteAnswers(now);
  }
  std::vector<std::string> expired;
  for (const UpstreamEntry& entry : this->upstreams.Expire(now)) {
    this->OnUpstreamDown(entry, now);
    this->selector.Forget(entry.id);
    expired.push_back(entry.id);
  }
  return expired;
}

// Records whether the upstream may have crashed while it ran the request.
void GatewayCore::RecordCrashEvidence(const AdmittedRequest& admitted,
                                      const SendPlan& plan, SendOutcome outcome,
                                      TimePoint now) {
  const std::uint64_t fingerprint = admitted.request.fingerprint;
  const std::string instance = plan.upstream.InstanceId();
  this->suspects.OnEnded(fingerprint, instance);
  const bool may_have_crashed = outcome == SendOutcome::kBroken ||
                                outcome == SendOutcome::kSilent ||
                                outcome == SendOutcome::kAbandoned;
  if (!plan.answer_begun && outcome == SendOutcome::kAnswered) {
    (void)this->poison_parts.OnAnswerBegun(admitted.shared_parts, instance,
                                           plan.record.sent_at, now);
  } else if (!plan.answer_begun) {
    this->poison_parts.OnEndedUnanswered(admitted.shared_parts, instance,
                                         plan.record.sent_at, may_have_crashed,
                                         now);
  }
  switch (outcome) {
    case SendOutcome::kAnswered:
      this->suspects.OnAnswered(fingerprint);
      return;
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
    case SendOutcome::kAbandoned:
      this->suspects.OnIncompleteAnswer(fingerprint, instance, now);
      return;
    case SendOutcome::kNotListening:
      this->OnUpstreamRefused(plan.upstream, now);
      return;
    case SendOutcome::kMisdirected:
      this->OnUpstreamDown(plan.upstream, now);
      return;
    default:
      return;  // not executed, or the upstream is alive
  }
}

bool GatewayCore::OnAnswerBegun(const AdmittedRequest& admitted, SendPlan& plan,
                                TimePoint now) {
  this->selector.OnStarted(plan.record, now);
  if (std::exchange(plan.answer_begun, true)) return false;
  return this->poison_parts.OnAnswerBegun(admitted.shared_parts,
                                          plan.upstream.InstanceId(),
                                          plan.record.sent_at, now);
}

bool GatewayCore::OnSendEnded(AdmittedRequest& admitted, const SendPlan& plan,
                              SendOutcome outcome, TimePoint now) {
  this->selector.OnEnded(plan.record, outcome, now,
                         admitted.events_delivered - plan.events_before);
  this->backoff.OnEnded(plan.upstream.InstanceId(), plan.record.sent_at);
  this->ReportToRollout(admitted, plan, outcome, now);
  this->RecordCrashEvidence(admitted, plan, outcome, now);
  const bool unsent =
      outcome == SendOutcome::kNoRoom || outcome == SendOutcome::kWithheld;
  const bool tests_reachability = outcome != SendOutcome::kAbandoned && !unsent;
  const bool reached = outcome != SendOutcome::kUnreachable &&
                       outcome != SendOutcome::kNotListening;
  if (tests_reachability) this->reachability.Add(reached, now);
  const bool not_run = outcome == SendOutcome::kRejected ||
                       outcome == SendOutcome::kMisdirected || unsent ||
                       !reached;
  if (!not_run) {
    ++admitted.possible_runs;
    admitted.prompt_billable = true;
  }
  const bool final = IsAnswer(outcome) || outcome == SendOutcome::kAbandoned ||
                     outcome == SendOutcome::kSilent;
  if (final) return false;
  admitted.failed_upstreams.push_back(plan.upstream.id);
  // Nothing was sent: it counts neither as an attempt nor as a retry.
  if (unsent) {
    --admitted.sends;
    return true;
  }
  if (!not_run && !admitted.route->MayRepeat()) return false;
  if (admitted.possible_runs >= admitted.route->attempts) return false;
  return admitted.sends - admitted.possible_runs < kMaxRejectedSends;
}

bool GatewayCore::TakeResend(const AdmittedRequest& admitted,
                             const UpstreamEntry& upstream, TimePoint now) {
  if (!admitted.route->MayRepeat()) return false;
  if (!this->MaySend(this->options.vm, upstream, now)) return false;
  if (this->rate_limits.IsLimited(upstream.InstanceId())) return false;
  if (this->cold_upstreams.IsCold(upstream.InstanceId(), now)) return false;
  const std::uint64_t fingerprint = admitted.request.fingerprint;
  if (this->suspects.CrashCount(fingerprint, now) > 0) return false;
  if (this->poison_parts.NamedPart(admitted.shared_parts)) return false;
  return this->RetryBudgetOf(admitted.service->name)
      .TryWithdraw(this->fleet_size, now);
}

Refusal GatewayCore::FinalRefusal(const AdmittedRequest& admitted,
                                  SendOutcome outcome) const {
  if (admitted.possible_runs == 0) {
    return {ErrorKind::kNoUpstream,
            AddJitter(kRetryUpstream, admitted.request.id)};
  }
  if (outcome == SendOutcome::kSilent) return {ErrorKind::kUpstreamTimeout, {}};
  return {ErrorKind::kUpstreamFailed, {}};
}

// Counts the prompt once, as soon as an upstream may have processed it, and
// each delivered event with the maximum number of tokens that it may hold.
std::int64_t GatewayCore::TokensUsed(const AdmittedRequest& admitted) const {
  if (!admitted.prompt_billable || !admitted.request.demand) return 0;
  const std::int64_t per_event =
      admitted.service->engine ? admitted.service->engine->max_tokens_per_event
                               : 1;
  return admitted.request.demand->prompt_tokens +
         admitted.events_delivered * per_event;
}

void GatewayCore::Finish(AdmittedRequest& admitted) {
  --this->in_flight;
  if (admitted.reserved == 0) return;
  this->budgets.Settle(admitted.organisation->name, admitted.reserved,
                       this->TokensUsed(admitted), admitted.source);
  admitted.reserved = 0;
}

}  // namespace hornbeamspool::policy
