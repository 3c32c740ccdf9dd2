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

// The send as the rollout of its service counts it.
VersionRollouts::Send RolloutSend(const Ticket& ticket,
                                  const SendOrder& order) {
  return {ticket.service->name, ticket.route->name, order.upstream.version,
          order.record.sent_at};
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
      board(this->options.availability_zone),
      budgets(start, this->options.budgets),
      rollouts(start.incarnation),
      link(this->options.link_bytes_per_second),
      held(this->options.memory_bytes / kHeldPart) {}

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

std::variant<Refusal, Ticket> GatewayCore::Admit(GatewayRequest request,
                                                 TimePoint now) {
  if (!this->table) {
    return Refusal{ErrorKind::kNotReady, Spread(kRetryNotReady, request.id)};
  }
  Ticket ticket;
  ticket.table = this->table;
  ticket.arrived = now;

  // Step 1: the route. One that isn't known may be newer than what is known
  // here, unless the store has just confirmed the configuration.
  ticket.route = ticket.table->FindRoute(request.host, request.path);
  if (ticket.route == nullptr) {
    if (this->confirmed) return Refusal{ErrorKind::kNotFound, {}};
    return Refusal{ErrorKind::kNotReady, Spread(kRetryNotReady, request.id)};
  }

  // Step 2: the key.
  if (ticket.table->NeedsKeys() && !ticket.route->open) {
    ticket.organisation = ticket.table->FindOrganisation(request.key);
    if (ticket.organisation == nullptr) {
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
  if (this->link.Delay(now) > LongestLinkDelay(*ticket.route)) {
    return Refusal{ErrorKind::kOverloaded, Spread(kRetryLink, request.id)};
  }

  // Step 5: the service, and the time that is left.
  ticket.service = this->ChooseService(*ticket.table, *ticket.route, request);
  if (ticket.service == nullptr) {
    return Refusal{ErrorKind::kNoUpstream, Spread(kRetryUpstream, request.id)};
  }
  ticket.deadline = now + std::min(request.patience, ticket.route->timeout);
  ticket.request = std::move(request);
  this->RetryBudgetOf(ticket.service->name).RecordRequest(now);
  ++this->in_flight;
  return ticket;
}

// A suspect comes back in vain until the suspicion has ended; one that is tried
// here just now may come back soon.
Refusal GatewayCore::RefuseSuspect(std::uint64_t fingerprint, TimePoint now) {
  const bool suspect = this->suspects.IsSuspect(fingerprint, now);
  if (suspect) this->suspects.OnRefused(fingerprint, now);
  return {ErrorKind::kCrashSuspect,
          suspect ? CrashSuspects::kSuspicionTimeout : kRetryUpstream};
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

BudgetVerdict GatewayCore::Pay(Ticket& ticket, TimePoint now) {
  const bool free = ticket.organisation == nullptr ||
                    !ticket.organisation->prepaid || !ticket.request.demand;
  if (free) return BudgetVerdict::kReserved;
  const std::int64_t amount = ticket.request.demand->WorstCase();
  const BudgetVerdict verdict = this->budgets.Reserve(
      ticket.organisation->name, amount, now, ticket.source);
  if (verdict == BudgetVerdict::kReserved) ticket.reserved = amount;
  return verdict;
}

WindowedRetryBudget& GatewayCore::RetryBudgetOf(const std::string& service) {
  return this->retry_budgets.try_emplace(service, this->options.retries)
      .first->second;
}

std::variant<Refusal, SendOrder> GatewayCore::NextSend(Ticket& ticket,
                                                       TimePoint now) {
  if (!this->suspects.MaySend(ticket.request.fingerprint, now)) {
    if (ticket.runs > 0) return Refusal{ErrorKind::kUpstreamFailed, {}};
    return this->RefuseSuspect(ticket.request.fingerprint, now);
  }
  const Duration left = ticket.deadline - now;
  if (left < kLeastTime) {
    const ErrorKind kind =
        ticket.runs > 0 ? ErrorKind::kUpstreamTimeout : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, ticket.request.id)};
  }
  const std::vector<const UpstreamEntry*> upstreams =
      this->UpstreamsFor(ticket, now);
  ChoiceRequest choice;
  if (ticket.request.demand) choice.demand = &*ticket.request.demand;
  if (ticket.service->engine) {
    choice.memory_tokens = ticket.service->engine->memory_tokens;
  }
  choice.target_pause = ticket.route->target_pause;
  const UpstreamEntry* upstream =
      this->board.Choose(upstreams, choice, ticket.failed_upstreams, now);
  if (upstream == nullptr) {
    const ErrorKind kind =
        ticket.runs > 0 ? ErrorKind::kUpstreamFailed : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, ticket.request.id)};
  }
  if (ticket.sends > 0 && !this->RetryBudgetOf(ticket.service->name)
                               .TryWithdraw(this->fleet_size, now)) {
    const ErrorKind kind =
        ticket.runs > 0 ? ErrorKind::kUpstreamFailed : ErrorKind::kNoUpstream;
    return Refusal{kind, Spread(kRetryUpstream, ticket.request.id)};
  }
  ++ticket.sends;
  SendOrder order;
  order.upstream = *upstream;
  order.left = left;
  const std::int64_t priority =
      ticket.organisation && ticket.organisation->priority
          ? *ticket.organisation->priority
          : ticket.route->priority;
  order.urgency = std::clamp<std::int64_t>(priority, 0, kLeastUrgent);
  order.max_connections = this->MostConnections(*ticket.service);
  order.record = this->board.OnSent(*upstream, choice.demand, now);
  this->suspects.OnSent(ticket.request.fingerprint, upstream->Start());
  order.rollout_revision = this->rollouts.OnSent(RolloutSend(ticket, order));
  return order;
}

// The usable upstreams of the request's service that run a version it may go
// to; of the preferred version where one of them is left to try.
std::vector<const UpstreamEntry*> GatewayCore::UpstreamsFor(Ticket& ticket,
                                                            TimePoint now) {
  const std::string& service = ticket.service->name;
  std::vector<const UpstreamEntry*> upstreams =
      this->upstreams.Usable(service, now);
  if (this->rollouts.Find(service) == nullptr) return upstreams;
  // A request that failed once is not retried on a canary.
  ticket.use_new_version =
      ticket.sends == 0 &&
      this->rollouts.UsesNewVersion(service, ticket.request.id, now);
  std::vector<const UpstreamEntry*> preferred;
  std::vector<const UpstreamEntry*> allowed;
  for (const UpstreamEntry* upstream : upstreams) {
    const VersionRollouts::Eligibility eligibility =
        this->rollouts.EligibilityOf(service, upstream->version,
                                     ticket.use_new_version);
    if (eligibility == VersionRollouts::Eligibility::kForbidden) continue;
    allowed.push_back(upstream);
    const bool failed =
        std::find(ticket.failed_upstreams.begin(),
                  ticket.failed_upstreams.end(),
                  upstream->id) != ticket.failed_upstreams.end();
    if (eligibility == VersionRollouts::Eligibility::kPreferred && !failed) {
      preferred.push_back(upstream);
    }
  }
  return preferred.empty() ? allowed : preferred;
}

void GatewayCore::NoteEnd(const Ticket& ticket, const SendOrder& order,
                          SendOutcome outcome, TimePoint now) {
  VersionRollouts::EndedSend ended;
  ended.send = RolloutSend(ticket, order);
  ended.revision = order.rollout_revision;
  ended.ended_at = now;
  if (outcome == SendOutcome::kAnswered) {
    ended.outcome = VersionRollouts::Outcome::kAnswered;
  } else if (outcome == SendOutcome::kUpstreamError ||
             outcome == SendOutcome::kErrorRelayed ||
             outcome == SendOutcome::kBroken ||
             outcome == SendOutcome::kSilent) {
    ended.outcome = VersionRollouts::Outcome::kFailed;
  } else if (outcome == SendOutcome::kAbandoned) {
    ended.outcome = VersionRollouts::Outcome::kAbandoned;
  }
  this->rollouts.OnEnded(ended);
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
void GatewayCore::NoteUpstreamGone(std::string_view id, TimePoint now) {
  const UpstreamEntry* entry = this->upstreams.Find(id);
  if (entry == nullptr || this->upstreams.InDoubt(now)) return;
  this->NoteUpstreamDown(*entry, now);
}

void GatewayCore::NoteUpstreamDown(const UpstreamEntry& entry, TimePoint now) {
  const UpstreamEntry* known = this->upstreams.Find(entry.id);
  const bool leaving = entry.draining || (known != nullptr && known->draining);
  if (!leaving) this->suspects.OnCrash(entry.Start(), now);
}

std::vector<std::string> GatewayCore::ExpireUpstreams(TimePoint now) {
  if (this->upstreams.InDoubt(now)) this->suspects.ExtendIncompleteAnswers(now);
  std::vector<std::string> gone;
  for (const UpstreamEntry& entry : this->upstreams.Expire(now)) {
    this->NoteUpstreamDown(entry, now);
    this->board.Forget(entry.id);
    gone.push_back(entry.id);
  }
  return gone;
}

// Evidence of upstreams that go down while they run a request.
void GatewayCore::NoteCrash(const Ticket& ticket, const SendOrder& order,
                            SendOutcome outcome, TimePoint now) {
  const std::uint64_t fingerprint = ticket.request.fingerprint;
  const std::string start = order.upstream.Start();
  this->suspects.OnEnded(fingerprint, start);
  switch (outcome) {
    case SendOutcome::kAnswered:
      this->suspects.OnAnswered(fingerprint);
      return;
    case SendOutcome::kBroken:
    case SendOutcome::kSilent:
    case SendOutcome::kAbandoned:
      this->suspects.OnIncompleteAnswer(fingerprint, start, now);
      return;
    case SendOutcome::kNotListening:
    case SendOutcome::kMisdirected:
      this->NoteUpstreamDown(order.upstream, now);
      return;
    default:
      return;  // nothing of the request ran, or its upstream lives
  }
}

bool GatewayCore::OnSendEnded(Ticket& ticket, const SendOrder& order,
                              SendOutcome outcome, TimePoint now) {
  this->board.OnEnded(order.record, outcome, now);
  this->NoteEnd(ticket, order, outcome, now);
  this->NoteCrash(ticket, order, outcome, now);
  const bool tells =
      outcome != SendOutcome::kAbandoned && outcome != SendOutcome::kNoRoom;
  const bool arrived = outcome != SendOutcome::kUnreachable &&
                       outcome != SendOutcome::kNotListening;
  if (tells) this->reach.Add(arrived, now);
  const bool not_run = outcome == SendOutcome::kRejected ||
                       outcome == SendOutcome::kMisdirected ||
                       outcome == SendOutcome::kNoRoom || !arrived;
  if (!not_run) {
    ++ticket.runs;
    ticket.prompt_read = true;
  }
  const bool final = IsAnswer(outcome) || outcome == SendOutcome::kAbandoned ||
                     outcome == SendOutcome::kSilent;
  if (final) return false;
  ticket.failed_upstreams.push_back(order.upstream.id);
  // Nothing was sent: it is no try, and costs the fleet no repeat.
  if (outcome == SendOutcome::kNoRoom) {
    --ticket.sends;
    return true;
  }
  if (!not_run && !ticket.route->MayRepeat()) return false;
  if (ticket.runs >= ticket.route->attempts) return false;
  return ticket.sends - ticket.runs < kMostRejectedSends;
}

bool GatewayCore::MayResend(const Ticket& ticket, TimePoint now) {
  if (!ticket.route->MayRepeat()) return false;
  const std::uint64_t fingerprint = ticket.request.fingerprint;
  if (this->suspects.CrashCount(fingerprint, now) > 0) return false;
  return this->RetryBudgetOf(ticket.service->name)
      .TryWithdraw(this->fleet_size, now);
}

Refusal GatewayCore::FinalRefusal(const Ticket& ticket,
                                  SendOutcome outcome) const {
  if (ticket.runs == 0) {
    return {ErrorKind::kNoUpstream, Spread(kRetryUpstream, ticket.request.id)};
  }
  if (outcome == SendOutcome::kSilent) return {ErrorKind::kUpstreamTimeout, {}};
  return {ErrorKind::kUpstreamFailed, {}};
}

// The prompt counts once, as soon as an upstream may have read it; output
// counts as delivered, each event with the most tokens that it may hold.
std::int64_t GatewayCore::TokensUsed(const Ticket& ticket) const {
  if (!ticket.prompt_read || !ticket.request.demand) return 0;
  const std::int64_t per_event =
      ticket.service->engine ? ticket.service->engine->tokens_per_event : 1;
  return ticket.request.demand->prompt_tokens +
         ticket.events_delivered * per_event;
}

void GatewayCore::Finish(Ticket& ticket) {
  --this->in_flight;
  if (ticket.reserved == 0) return;
  this->budgets.Settle(ticket.organisation->name, ticket.reserved,
                       this->TokensUsed(ticket), ticket.source);
  ticket.reserved = 0;
}

}  // namespace hornbeamspool::policy
