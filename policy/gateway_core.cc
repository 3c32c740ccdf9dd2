#include "policy/gateway_core.h"

#include <algorithm>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// When callers may come back: after the configuration is read, at another VM,
// after an upstream is free.
constexpr Duration kRetryNotReady = std::chrono::milliseconds(500);
constexpr Duration kRetryLink = std::chrono::milliseconds(300);
constexpr Duration kRetryUpstream = std::chrono::milliseconds(700);

// A send with less time than this is not worth the upstream's work.
constexpr Duration kLeastTime = std::chrono::milliseconds(20);

// Sends that upstreams reject don't run; still, each costs the caller time.
constexpr std::int64_t kMostRejectedSends = 3;

constexpr std::int64_t kLeastUrgent = 9;

// Of the process's memory, one part in so many holds answers that are not whole
// yet.
constexpr std::int64_t kHeldPart = 8;

// VMs that may have been added and are not known yet, for the share of a
// upstream's connections.
constexpr std::int64_t kMoreVms = 3;

// Beyond its even part, a VM takes up to one in this many of the connections
// that an upstream bears: as many busy VMs at once are rare.
constexpr std::int64_t kBusyPart = 6;

// A request may lose this part of its target latency at the VM's link, and no
// more than the bound.
constexpr std::int64_t kLinkPart = 4;
constexpr Duration kMostLinkDelay = std::chrono::milliseconds(150);

Duration LongestLinkDelay(const Route& route) {
  return std::min(kMostLinkDelay, route.target_latency / kLinkPart);
}

// The send as the moves between versions count it.
VersionMoves::Send MoveSend(const AdmittedRequest& admitted,
                            const SendPlan& plan) {
  return {admitted.service->name, admitted.route->name, plan.upstream.version,
          plan.record.sent_at};
}

// Spreads the callers' return over half of the time more.
Duration Spread(Duration after, std::string_view request_id) {
  const std::uint64_t hash = coordination::StableHash(request_id);
  constexpr std::uint64_t kSteps = 64;
  return after + after / 2 * static_cast<std::int64_t>(hash % kSteps) /
                     static_cast<std::int64_t>(kSteps);
}

}  // namespace

GatewayCore::GatewayCore(GatewayOptions options, ProcessStart start)
    : options(std::move(options)),
      selector(this->options.availability_zone),
      budgets(start, this->options.budgets),
      moves(start.incarnation),
      link(this->options.link_bytes_per_second),
      answer_buffers(this->options.memory_bytes / kHeldPart) {}

bool GatewayCore::SetConfig(GatewayConfig config) {
  if (this->table && config.version <= this->table->Config().version) {
    return false;
  }
  this->table = std::make_shared<const RouteTable>(std::move(config));
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
    return Refusal{ErrorKind::kNotReady, Spread(kRetryNotReady, request.id)};
  }
  AdmittedRequest admitted;
  admitted.table = this->table;
  admitted.arrived = now;

  // Step 1: the route. One that isn't known may be newer than what is known
  // here, unless the store has just confirmed the configuration.
  admitted.route = admitted.table->FindRoute(request.host, request.path);
  if (admitted.route == nullptr) {
    if (this->confirmed) return Refusal{ErrorKind::kNotFound, {}};
    return Refusal{ErrorKind::kNotReady, Spread(kRetryNotReady, request.id)};
  }

  // Step 2: the key.
  if (admitted.table->NeedsKeys() && !admitted.route->is_public) {
    admitted.organisation = admitted.table->FindOrganisation(request.key);
    if (admitted.organisation == nullptr) {
      const bool final = this->confirmed || request.key.empty();
      if (final) return Refusal{ErrorKind::kUnauthenticated, {}};
      return Refusal{ErrorKind::kNotReady, Spread(kRetryNotReady, request.id)};
    }
  }

  // Step 3: what takes upstreams down.
  if (!this->suspects.MaySend(request.fingerprint, now)) {
    return this->RefuseSuspect(request.fingerprint, now);
  }

  // Step 4: the VM's link. Another VM may have room.
  if (this->link.QueueDelay(now) > LongestLinkDelay(*admitted.route)) {
    return Refusal{ErrorKind::kOverloaded, Spread(kRetryLink, request.id)};
  }

  // Step 5: the service, and the time that is left.
  admitted.service =
      this->ChooseService(*admitted.table, *admitted.route, request);
  if (admitted.service == nullptr) {
    return Refusal{ErrorKind::kNoUpstream, Spread(kRetryUpstream, request.id)};
  }
  admitted.deadline =
      now + std::min(request.caller_timeout, admitted.route->timeout);
  admitted.request = std::move(request);
  this->AllowanceOf(admitted.service->name).NoteRequest(now);
  ++this->in_flight;
  return admitted;
}

// A suspect comes back in vain until the suspicion has ended; one that is tried
// here just now may come back soon.
Refusal GatewayCore::RefuseSuspect(std::uint64_t fingerprint, TimePoint now) {
  const bool suspect = this->suspects.IsSuspect(fingerprint, now);
  if (suspect) this->suspects.OnRefused(fingerprint, now);
  return {ErrorKind::kCrashSuspect,
          suspect ? CrashSuspects::kMemory : kRetryUpstream};
}

const Service* GatewayCore::ChooseService(const RouteTable& table,
                                          const Route& route,
                                          const GatewayRequest& request) const {
  std::int64_t total = 0;
  for (const ServiceShare& share : route.shares) total += share.weight;
  if (total <= 0) return nullptr;
  const auto point = static_cast<std::int64_t>(
      coordination::StableHash(request.id) % static_cast<std::uint64_t>(total));
  std::int64_t passed = 0;
  for (const ServiceShare& share : route.shares) {
    passed += share.weight;
    if (point < passed) return table.FindService(share.service);
  }
  return nullptr;
}

BudgetVerdict GatewayCore::ReserveBudget(AdmittedRequest& admitted,
                                         TimePoint now) {
  const bool free = admitted.organisation == nullptr ||
                    !admitted.organisation->prepaid || !admitted.request.demand;
  if (free) return BudgetVerdict::kReserved;
  const std::int64_t amount = admitted.request.demand->MaxTokens();
  const BudgetVerdict verdict = this->budgets.Reserve(
      admitted.organisation->name, amount, now, admitted.source);
  if (verdict == BudgetVerdict::kReserved) admitted.reserved = amount;
  return verdict;
}

RetryAllowance& GatewayCore::AllowanceOf(const std::string& service) {
  return this->allowances.try_emplace(service, this->options.retries)
      .first->second;
}

std::variant<Refusal, SendPlan> GatewayCore::NextSend(AdmittedRequest& admitted,
                                                      TimePoint now) {
  if (!this->suspects.MaySend(admitted.request.fingerprint, now)) {
    if (admitted.possible_runs > 0)
      return Refusal{ErrorKind::kUpstreamFailed, {}};
    return this->RefuseSuspect(admitted.request.fingerprint, now);
  }
  const Duration left = admitted.deadline - now;
  if (left < kLeastTime) {
    const ErrorKind kind = admitted.possible_runs > 0
                               ? ErrorKind::kUpstreamTimeout
                               : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, admitted.request.id)};
  }
  const std::vector<const UpstreamEntry*> upstreams =
      this->UpstreamsFor(admitted, now);
  SelectionCriteria criteria;
  if (admitted.request.demand) criteria.demand = &*admitted.request.demand;
  if (admitted.service->engine) {
    criteria.kv_capacity_tokens = admitted.service->engine->kv_capacity_tokens;
  }
  criteria.target_pause = admitted.route->target_pause;
  const UpstreamEntry* upstream = this->selector.Select(
      upstreams, criteria, admitted.failed_upstreams, now);
  if (upstream == nullptr) {
    const ErrorKind kind = admitted.possible_runs > 0
                               ? ErrorKind::kUpstreamFailed
                               : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, admitted.request.id)};
  }
  if (admitted.sends > 0 &&
      !this->AllowanceOf(admitted.service->name).Take(this->fleet_size, now)) {
    const ErrorKind kind = admitted.possible_runs > 0
                               ? ErrorKind::kUpstreamFailed
                               : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, admitted.request.id)};
  }
  ++admitted.sends;
  SendPlan plan;
  plan.upstream = *upstream;
  plan.time_left = left;
  const std::int64_t priority =
      admitted.organisation && admitted.organisation->priority
          ? *admitted.organisation->priority
          : admitted.route->priority;
  plan.urgency = std::clamp<std::int64_t>(priority, 0, kLeastUrgent);
  plan.max_connections = this->MostConnections(*admitted.service);
  plan.record = this->selector.OnSent(*upstream, criteria.demand, now);
  this->suspects.OnSent(admitted.request.fingerprint, upstream->InstanceId());
  plan.move_revision = this->moves.OnSent(MoveSend(admitted, plan));
  return plan;
}

// The usable upstreams of the request's service that run a version it may go
// to; of the preferred version where one of them is left to try.
std::vector<const UpstreamEntry*> GatewayCore::UpstreamsFor(
    AdmittedRequest& admitted, TimePoint now) {
  const std::string& service = admitted.service->name;
  std::vector<const UpstreamEntry*> upstreams =
      this->upstreams.Usable(service, now);
  if (this->moves.Find(service) == nullptr) return upstreams;
  // A request that failed once is no longer tried on a version on trial.
  admitted.on_trial_version =
      admitted.sends == 0 &&
      this->moves.TakesPart(service, admitted.request.id, now);
  std::vector<const UpstreamEntry*> preferred;
  std::vector<const UpstreamEntry*> allowed;
  for (const UpstreamEntry* upstream : upstreams) {
    const VersionMoves::Fit fit = this->moves.FitOf(service, upstream->version,
                                                    admitted.on_trial_version);
    if (fit == VersionMoves::Fit::kForbidden) continue;
    allowed.push_back(upstream);
    const bool failed =
        std::find(admitted.failed_upstreams.begin(),
                  admitted.failed_upstreams.end(),
                  upstream->id) != admitted.failed_upstreams.end();
    if (fit == VersionMoves::Fit::kPreferred && !failed) {
      preferred.push_back(upstream);
    }
  }
  return preferred.empty() ? allowed : preferred;
}

void GatewayCore::NoteEnd(const AdmittedRequest& admitted, const SendPlan& plan,
                          SendOutcome outcome, TimePoint now) {
  VersionMoves::EndedSend ended;
  ended.send = MoveSend(admitted, plan);
  ended.revision = plan.move_revision;
  ended.ended_at = now;
  if (outcome == SendOutcome::kAnswered) {
    ended.outcome = VersionMoves::Outcome::kAnswered;
  } else if (outcome == SendOutcome::kUpstreamError ||
             outcome == SendOutcome::kErrorRelayed ||
             outcome == SendOutcome::kBroken ||
             outcome == SendOutcome::kSilent) {
    ended.outcome = VersionMoves::Outcome::kFailed;
  } else if (outcome == SendOutcome::kAbandoned) {
    ended.outcome = VersionMoves::Outcome::kGivenUp;
  }
  this->moves.OnEnded(ended);
}

// Connections of this VM to one upstream of the service. All VMs share what the
// upstream bears, and the balancer sends most of a zone's callers to a few.
std::size_t GatewayCore::MostConnections(const Service& service) const {
  if (service.max_connections <= 0) return SIZE_MAX;
  const std::int64_t even =
      this->fleet_size == 0
          ? 0
          : service.max_connections / (this->fleet_size + kMoreVms);
  const std::int64_t busy = service.max_connections / kBusyPart;
  return static_cast<std::size_t>(std::max<std::int64_t>(1, even + busy));
}

// An entry that goes without a word of leaving is a crash's, unless the store
// was away meanwhile: then entries of live upstreams go too.
void GatewayCore::OnUpstreamRemoved(std::string_view id, TimePoint now) {
  const UpstreamEntry* entry = this->upstreams.Find(id);
  if (entry == nullptr || this->upstreams.RemovalIsUncertain(now)) return;
  this->OnUpstreamDown(*entry, now);
}

void GatewayCore::OnUpstreamDown(const UpstreamEntry& entry, TimePoint now) {
  const UpstreamEntry* known = this->upstreams.Find(entry.id);
  const bool leaving = entry.draining || (known != nullptr && known->draining);
  if (!leaving) this->suspects.OnDown(entry.InstanceId(), now);
}

std::vector<std::string> GatewayCore::ExpireUpstreams(TimePoint now) {
  if (this->upstreams.RemovalIsUncertain(now)) this->suspects.HoldBroken(now);
  std::vector<std::string> gone;
  for (const UpstreamEntry& entry : this->upstreams.Expire(now)) {
    this->OnUpstreamDown(entry, now);
    this->selector.Forget(entry.id);
    gone.push_back(entry.id);
  }
  return gone;
}

// Evidence of upstreams that go down while they run a request.
void GatewayCore::NoteCrash(const AdmittedRequest& admitted,
                            const SendPlan& plan, SendOutcome outcome,
                            TimePoint now) {
  const std::uint64_t fingerprint = admitted.request.fingerprint;
  const std::string start = plan.upstream.InstanceId();
  this->suspects.OnEnded(fingerprint, start);
  switch (outcome) {
    case SendOutcome::kAnswered:
      this->suspects.OnAnswered(fingerprint);
      return;
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
    case SendOutcome::kAbandoned:
      this->suspects.OnBroken(fingerprint, start, now);
      return;
    case SendOutcome::kNotListening:
    case SendOutcome::kMisdirected:
      this->OnUpstreamDown(plan.upstream, now);
      return;
    default:
      return;  // nothing of the request ran, or its upstream lives
  }
}

bool GatewayCore::OnSendEnded(AdmittedRequest& admitted, const SendPlan& plan,
                              SendOutcome outcome, TimePoint now) {
  this->selector.OnEnded(plan.record, outcome, now);
  this->NoteEnd(admitted, plan, outcome, now);
  this->NoteCrash(admitted, plan, outcome, now);
  const bool tells =
      outcome != SendOutcome::kAbandoned && outcome != SendOutcome::kNoRoom;
  const bool arrived = outcome != SendOutcome::kUnreachable &&
                       outcome != SendOutcome::kNotListening;
  if (tells) this->reachability.Add(arrived, now);
  const bool not_run = outcome == SendOutcome::kRejected ||
                       outcome == SendOutcome::kMisdirected ||
                       outcome == SendOutcome::kNoRoom || !arrived;
  if (!not_run) {
    ++admitted.possible_runs;
    admitted.prompt_read = true;
  }
  const bool final = IsAnswer(outcome) || outcome == SendOutcome::kAbandoned ||
                     outcome == SendOutcome::kSilent;
  if (final) return false;
  admitted.failed_upstreams.push_back(plan.upstream.id);
  // Nothing was sent: it is no try, and costs the fleet no repeat.
  if (outcome == SendOutcome::kNoRoom) {
    --admitted.sends;
    return true;
  }
  if (!not_run && !admitted.route->MayRepeat()) return false;
  if (admitted.possible_runs >= admitted.route->attempts) return false;
  return admitted.sends - admitted.possible_runs < kMostRejectedSends;
}

bool GatewayCore::TakeResend(const AdmittedRequest& admitted, TimePoint now) {
  if (!admitted.route->MayRepeat()) return false;
  const std::uint64_t fingerprint = admitted.request.fingerprint;
  if (this->suspects.CrashesOf(fingerprint, now) > 0) return false;
  return this->AllowanceOf(admitted.service->name).Take(this->fleet_size, now);
}

Refusal GatewayCore::FinalRefusal(const AdmittedRequest& admitted,
                                  SendOutcome outcome) const {
  if (admitted.possible_runs == 0) {
    return {ErrorKind::kNoUpstream,
            Spread(kRetryUpstream, admitted.request.id)};
  }
  if (outcome == SendOutcome::kSilent) return {ErrorKind::kUpstreamTimeout, {}};
  return {ErrorKind::kUpstreamFailed, {}};
}

// The prompt counts once, as soon as an upstream may have read it; output
// counts as delivered, each event with the most tokens that it may hold.
std::int64_t GatewayCore::TokensUsed(const AdmittedRequest& admitted) const {
  if (!admitted.prompt_read || !admitted.request.demand) return 0;
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
