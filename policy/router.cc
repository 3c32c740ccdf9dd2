#include "policy/router.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Most tokens that a chat template adds to the caller's text.
constexpr std::int64_t kMaxTemplateTokens = 64;
// The priority sent to engines is the first-token target in units of this.
constexpr Duration kPriorityUnit = std::chrono::milliseconds(100);

// How often the rate limits of upstreams that are no longer listed are looked
// for.
constexpr Duration kPruneInterval = std::chrono::seconds(10);

// The shortest time to come back that a refusal names while all upstreams leave
// or pause.
constexpr Duration kMinBackoffRetry = std::chrono::seconds(1);
// Registered upstreams name no slots: the requests in flight after a pause
// start from one.
constexpr std::int64_t kTrialSlots = 1;

void AddEvent(Outbox& out, EventKind kind, std::string request,
              std::string detail, std::string budget = {}) {
  Event event;
  event.kind = kind;
  event.request = std::move(request);
  event.budget = std::move(budget);
  event.detail = std::move(detail);
  out.events.push_back(std::move(event));
}

void AddRefusal(Outbox& out, const AdmissionRequest& request, ErrorKind kind,
                bool earlier_attempts_unknown = false,
                std::optional<std::int64_t> retry_after_s = {}) {
  Refused refused;
  refused.kind = kind;
  refused.retry_after_s = retry_after_s;
  refused.earlier_attempts_unknown = earlier_attempts_unknown;
  out.replies.push_back(
      AdmissionReply{request.correlation_id, std::move(refused)});
  AddEvent(out, EventKind::kRefused, request.request_id,
           KeyValue("error", AnswerFor(kind).name) + ' ' +
               KeyValue("run", RunStateName(AnswerFor(kind).run)));
}

void AddRateEvent(Outbox& out, std::string_view instance,
                  RateLimits::Change change, std::string_view source) {
  if (change == RateLimits::Change::kNone) return;
  AddEvent(out, EventKind::kRateLimit, {},
           KeyValue("upstream", instance) + ' ' +
               KeyValue("outcome", RateLimits::ChangeName(change)) + ' ' +
               KeyValue("source", source));
}

CommitIntent MakeIntent(std::uint64_t reservation, std::string organisation,
                        const AdmissionRequest& request) {
  CommitIntent intent;
  intent.reservation = reservation;
  intent.organisation = std::move(organisation);
  intent.request_key = request.request_key;
  intent.fingerprint = request.fingerprint;
  return intent;
}

const WorkClass* FindClass(const FleetConfig& config, std::string_view name) {
  const auto found = std::find_if(
      config.classes.begin(), config.classes.end(),
      [&](const WorkClass& work_class) { return work_class.name == name; });
  return found == config.classes.end() ? nullptr : &*found;
}

const RouteCall* FindCall(const PlainRoute& route, std::string_view method) {
  for (const RouteCall& call : route.calls) {
    const auto& methods = call.methods;
    if (std::find(methods.begin(), methods.end(), method) != methods.end()) {
      return &call;
    }
  }
  return nullptr;
}

// The error after the last attempt has failed. Its answer says that the request
// has not run only if no byte of it reached an upstream.
ErrorKind FinalError(const AttemptState& attempts) {
  if (!attempts.reached) return ErrorKind::kUpstreamUnreachable;
  return attempts.repeatable ? ErrorKind::kUpstreamFailed
                             : ErrorKind::kOrderUncertain;
}

// Returns the matching route with the longest prefix; null when none matches.
const PlainRoute* FindRoute(const FleetConfig& config, std::string_view path) {
  const PlainRoute* best = nullptr;
  for (const PlainRoute& route : config.routes) {
    if (!path.starts_with(route.prefix)) continue;
    if (best != nullptr && route.prefix.size() <= best->prefix.size()) continue;
    best = &route;
  }
  return best;
}

}  // namespace

Router::Router(RouterOptions options)
    : options(std::move(options)),
      budgets(this->options.grant_policy),
      permits(this->options.node, this->options.incarnation),
      poison_parts(this->options.node),
      backoff(this->options.node) {}

bool Router::SetConfig(std::uint64_t epoch, FleetConfig config, Outbox& out) {
  if (!this->config.Offer(epoch, std::move(config))) return false;
  this->key_owners.clear();
  for (const Organisation& organisation : this->config.Get()->organisations) {
    for (const OrganisationKey& key : organisation.keys) {
      this->key_owners[key.sha256] = KeyOwner{&organisation, key.budget};
    }
  }
  AddEvent(out, EventKind::kConfigInForce, {},
           KeyValue("epoch", static_cast<std::int64_t>(epoch)));
  return true;
}

void Router::SetUpstreams(std::span<const ListedUpstream> listed, Outbox& out) {
  for (const std::string& name : this->upstreams.SetListed(listed)) {
    const auto found = this->upstreams.All().find(name);
    const bool present = found != this->upstreams.All().end();
    const bool draining = present && found->second.listed.draining;
    const std::string_view state =
        !present ? "gone" : (draining ? "leaving" : "live");
    AddEvent(out, EventKind::kUpstreamChanged, {},
             KeyValue("upstream", name) + ' ' + KeyValue("state", state));
  }
}

// Admission control. The first step that refuses the request ends it; by then
// nothing has been sent to an upstream.
void Router::OnRequest(const AdmissionRequest& request, TimePoint now,
                       Outbox& out) {
  // Step 1: check the state of the node.
  if (const auto error = this->CheckNodeState(request)) {
    const bool has_key =
        request.kind == RequestKind::kPlain && !request.request_key.empty();
    AddRefusal(out, request, *error, has_key);
    return;
  }

  // Step 2: authorize the caller, and find the service and the most that the
  // request can spend.
  Reservation reservation;
  reservation.request = request;
  reservation.arrived = now;
  std::optional<ErrorKind> error = this->Authorize(reservation);
  if (!error) {
    error = request.kind == RequestKind::kModel
                ? this->PrepareModelRequest(reservation)
                : this->PreparePlainRequest(reservation);
  }
  if (error) {
    AddRefusal(out, request, *error);
    return;
  }

  // Step 3: refuse prompts that crash upstreams.
  if (!this->poison_parts.MaySend(request.shared_parts, now)) {
    this->poison_parts.OnRefused(request.shared_parts, now);
    AddRefusal(out, request, ErrorKind::kPoisonPart);
    return;
  }

  // Step 4: admit only one request at a time for each request key.
  if (reservation.request.request_key.empty()) {
    reservation.request.request_key = request.request_id;
  }
  if (!this->in_progress.Begin(reservation.organisation,
                               reservation.request.request_key)) {
    AddRefusal(out, request, ErrorKind::kInProgress);
    return;
  }

  // Step 5: reserve the budget. An order commits its intent before that, so
  // that a request that repeats its key gets the recorded answer even when the
  // budget is exhausted.
  const std::uint64_t id = this->next_reservation++;
  const bool is_order = !reservation.attempts.repeatable;
  if (is_order) {
    out.commands.emplace_back(
        MakeIntent(id, reservation.organisation, reservation.request));
  }
  this->reservations.emplace(id, std::move(reservation));
  if (!is_order) this->ReserveBudget(id, now, out);
}

// Reserves the most that a request can spend, and dispatches it once that is
// done.
void Router::ReserveBudget(std::uint64_t id, TimePoint now, Outbox& out) {
  const Reservation& reservation = this->reservations.at(id);
  BudgetOutcome outcome;
  const ReserveVerdict verdict = this->budgets.Reserve(
      reservation.budget, reservation.amount, id, now, outcome);
  this->ApplyBudgetOutcome(outcome, now, out);
  if (verdict == ReserveVerdict::kWaiting) return;
  if (verdict == ReserveVerdict::kReserved) {
    this->reservations.at(id).reserved = true;
    this->Dispatch(id, now, out);
    return;
  }
  this->Refuse(id,
               verdict == ReserveVerdict::kExhausted
                   ? ErrorKind::kBudgetExhausted
                   : ErrorKind::kBudgetUnavailable,
               now, out);
}

std::optional<ErrorKind> Router::CheckNodeState(
    const AdmissionRequest& request) const {
  if (this->stopping) return ErrorKind::kStopping;
  if (this->config.Get() == nullptr) return ErrorKind::kNotReady;
  if (request.kind >= RequestKind::kCount) return ErrorKind::kMalformedRequest;
  if (this->reservations.size() >= this->options.max_in_flight) {
    return ErrorKind::kOverloaded;
  }
  if (this->billing.Full()) return ErrorKind::kStoreUnavailable;
  return std::nullopt;
}

std::optional<ErrorKind> Router::Authorize(Reservation& reservation) const {
  const auto owner = this->key_owners.find(reservation.request.key_digest);
  if (owner == this->key_owners.end()) return ErrorKind::kUnauthenticated;
  const Organisation& organisation = *owner->second.organisation;
  reservation.organisation = organisation.name;
  reservation.budget = std::string(owner->second.budget);
  std::string_view class_name = reservation.request.work_class;
  if (class_name.empty()) class_name = organisation.classes.front();
  const WorkClass* work_class = FindClass(*this->config.Get(), class_name);
  if (work_class == nullptr) return ErrorKind::kUnknownClass;
  const auto& allowed = organisation.classes;
  if (std::find(allowed.begin(), allowed.end(), class_name) == allowed.end()) {
    return ErrorKind::kForbidden;
  }
  reservation.targets = work_class->targets;
  return std::nullopt;
}

std::optional<ErrorKind> Router::PrepareModelRequest(
    Reservation& reservation) const {
  const FleetConfig& config = *this->config.Get();
  const auto model = std::find_if(
      config.models.begin(), config.models.end(), [&](const Model& model) {
        return model.name == reservation.request.target;
      });
  if (model == config.models.end()) return ErrorKind::kUnknownModel;
  reservation.service = model->service;
  reservation.version = model->version;
  reservation.max_tokens =
      reservation.request.max_tokens.value_or(model->default_max_tokens);
  if (reservation.max_tokens < 1) return ErrorKind::kMalformedRequest;
  if (reservation.max_tokens > model->limit_max_tokens) {
    return ErrorKind::kTooManyTokens;
  }
  // Upper bound on the tokens of the prompt.
  const std::int64_t prompt_tokens =
      reservation.request.prompt_bytes / model->min_bytes_per_token +
      kMaxTemplateTokens;
  reservation.amount = prompt_tokens + reservation.max_tokens;
  reservation.attempts.repeatable = true;
  return std::nullopt;
}

std::optional<ErrorKind> Router::PreparePlainRequest(
    Reservation& reservation) const {
  const FleetConfig& config = *this->config.Get();
  const PlainRoute* route = FindRoute(config, reservation.request.target);
  if (route == nullptr) return ErrorKind::kNotFound;
  const RouteCall* call = FindCall(*route, reservation.request.method);
  if (call == nullptr) return ErrorKind::kMethodNotAllowed;
  const bool needs_key = !call->repeatable && call->key_required;
  if (needs_key && reservation.request.request_key.empty()) {
    return ErrorKind::kKeyRequired;
  }
  reservation.service = route->service;
  reservation.price = route->price_tokens;
  reservation.amount = route->price_tokens;
  reservation.attempts.repeatable = call->repeatable;
  return std::nullopt;
}

void Router::Dispatch(std::uint64_t id, TimePoint now, Outbox& out) {
  Reservation& reservation = this->reservations.at(id);
  if (!this->poison_parts.MaySend(reservation.request.shared_parts, now)) {
    this->RefusePoisonPart(id, now, out);
    return;
  }
  UpstreamDemand demand;
  demand.service = reservation.service;
  demand.version = reservation.version;
  demand.availability_zone = this->options.availability_zone;
  demand.tokens =
      reservation.request.kind == RequestKind::kModel ? reservation.amount : 0;
  demand.excluded = reservation.failed_upstreams;
  PermitFilter filter(this->permits.Limits(), reservation.permits, now);
  std::vector<std::string> excluded =
      this->ExcludedUpstreams(reservation, demand, filter);
  const std::optional<Duration> backoff_ends =
      this->ExcludeWithheld(demand, excluded, now);
  demand.excluded = excluded;
  const Upstream* chosen = this->upstreams.Select(demand, now);
  if (chosen == nullptr && filter.Excluded()) {
    this->WaitOrRefuse(id, filter, now, out);
    return;
  }
  if (chosen == nullptr && backoff_ends && !reservation.attempts.reached) {
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(*backoff_ends);
    this->Refuse(id, ErrorKind::kUpstreamBackoff, now, out, seconds.count());
    return;
  }
  if (chosen == nullptr) {
    const bool tried = !reservation.failed_upstreams.empty();
    this->Refuse(
        id, tried ? FinalError(reservation.attempts) : ErrorKind::kNoUpstream,
        now, out);
    return;
  }
  const std::string& instance = chosen->listed.InstanceId();
  if (reservation.permits.granted != instance) {
    const RateLimits::Permission permission =
        this->permits.Limits().Check(instance, now);
    if (permission.kind == RateLimits::Permission::Kind::kAsk) {
      ++reservation.permits.requests;
      this->permits.Ask(id, instance, permission.issuer, now,
                        out.peer_messages);
      return;
    }
    this->permits.Limits().TakeOwn(instance, now);
  }
  reservation.permits.granted.clear();
  this->permits.Limits().OnSent(instance, now);
  this->Admit(id, *chosen, now, out);
}

void Router::RefusePoisonPart(std::uint64_t id, TimePoint now, Outbox& out) {
  const Reservation& reservation = this->reservations.at(id);
  this->poison_parts.OnRefused(reservation.request.shared_parts, now);
  const ErrorKind kind = reservation.attempts.reached
                             ? FinalError(reservation.attempts)
                             : ErrorKind::kPoisonPart;
  this->Refuse(id, kind, now, out);
}

void Router::EndWait(Reservation& reservation, bool answered, bool may_have_run,
                     TimePoint now) {
  if (!std::exchange(reservation.awaits_answer, false)) return;
  this->backoff.OnEnded(reservation.instance, reservation.sent_at);
  const std::vector<std::uint64_t>& parts = reservation.request.shared_parts;
  if (answered) {
    (void)this->poison_parts.OnAnswerBegun(parts, reservation.instance,
                                           reservation.sent_at, now);
    return;
  }
  this->poison_parts.OnEndedUnanswered(parts, reservation.instance,
                                       reservation.sent_at, may_have_run, now);
}

void Router::OnAnswerBegun(const AnswerBegun& begun, TimePoint now) {
  const auto found = this->reservations.find(begun.reservation);
  if (found == this->reservations.end()) return;
  this->EndWait(found->second, true, false, now);
}

void Router::OnPartRecords(std::span<const PoisonPartRecord> records,
                           TimePoint now) {
  this->poison_parts.Apply(records, now);
}

void Router::CollectPartRecords(TimePoint now, Outbox& out) {
  this->poison_parts.Expire(now);
  std::vector<PoisonPartRecord> records = this->poison_parts.TakeRecords(now);
  std::move(records.begin(), records.end(),
            std::back_inserter(out.part_records));
  for (const PoisonParts::Change& change : this->poison_parts.TakeChanges()) {
    AddEvent(out, EventKind::kPoisonPart, {}, change.Fields());
  }
}

// The upstreams that failed for the request, and those that are at their rate
// limit. A permit that the request holds decides the upstream.
std::vector<std::string> Router::ExcludedUpstreams(
    const Reservation& reservation, const UpstreamDemand& demand,
    PermitFilter& filter) const {
  std::vector<std::string> excluded = reservation.failed_upstreams;
  if (!this->permits.Limits().AnyLimited()) return excluded;
  const std::vector<const Upstream*> eligible =
      this->upstreams.Eligible(demand);
  const std::string& granted = reservation.permits.granted;
  const bool holds_permit = std::any_of(
      eligible.begin(), eligible.end(), [&](const Upstream* upstream) {
        return upstream->listed.InstanceId() == granted;
      });
  for (const Upstream* upstream : eligible) {
    const std::string& instance = upstream->listed.InstanceId();
    const bool allowed =
        holds_permit ? instance == granted : filter.Allows(instance);
    if (!allowed) excluded.push_back(upstream->listed.name);
  }
  return excluded;
}

std::optional<Duration> Router::ExcludeWithheld(
    const UpstreamDemand& demand, std::vector<std::string>& excluded,
    TimePoint now) const {
  if (this->backoff.Empty()) return std::nullopt;
  std::optional<Duration> ends;
  bool excludes = false;
  for (const Upstream* upstream : this->upstreams.Eligible(demand)) {
    const std::string& instance = upstream->listed.InstanceId();
    if (this->backoff.MayChoose(this->options.node, instance, now)) continue;
    excluded.push_back(upstream->listed.name);
    excludes = true;
    const TimePoint until =
        this->backoff.PausedUntil(this->options.node, instance, now);
    if (until == TimePoint{}) continue;
    ends = std::min(ends.value_or(until - now), until - now);
  }
  if (!excludes) return std::nullopt;
  // Without the end of a pause, a new upstream may come at any time.
  return std::max(ends.value_or(kMinBackoffRetry), kMinBackoffRetry);
}

void Router::WaitOrRefuse(std::uint64_t id, const PermitFilter& filter,
                          TimePoint now, Outbox& out) {
  const Reservation& reservation = this->reservations.at(id);
  const PermitFilter::Outcome outcome =
      filter.Decide(reservation.arrived, reservation.targets.first_token,
                    reservation.arrived + reservation.targets.deadline);
  if (outcome.waits) {
    this->permits.WaitUntil(id, outcome.retry_at);
    return;
  }
  const ErrorKind kind = reservation.attempts.reached
                             ? FinalError(reservation.attempts)
                             : ErrorKind::kUpstreamRateLimited;
  this->Refuse(
      id, kind, now, out,
      std::chrono::ceil<std::chrono::seconds>(outcome.retry_after).count());
}

// Dispatches requests that a permit or the end of a wait has made ready.
void Router::Resume(std::vector<PermitQueue::Ready> ready, TimePoint now,
                    Outbox& out) {
  for (PermitQueue::Ready& each : ready) {
    const auto found = this->reservations.find(each.request);
    if (found == this->reservations.end()) continue;
    found->second.permits.granted = std::move(each.granted);
    this->Dispatch(each.request, now, out);
  }
}

void Router::OnPeerMessage(const RateMessage& message, TimePoint now,
                           Outbox& out) {
  PermitQueue::Received received =
      this->permits.OnMessage(message, now, out.peer_messages);
  AddRateEvent(out, message.instance, received.change, message.sender);
  this->Resume(std::move(received.ready), now, out);
}

void Router::OnUpstreamAnswer(const UpstreamAnswer& answer, TimePoint now,
                              Outbox& out) {
  const RateLimits::Change change = this->permits.Limits().OnAnswer(
      answer.instance, answer.rate, answer.sent_at, now);
  this->permits.Announce(answer.instance, change, now, out.peer_messages);
  AddRateEvent(out, answer.instance, change, "answer");
  this->OnBackoff(answer, now, out);
}

void Router::OnBackoff(const UpstreamAnswer& answer, TimePoint now,
                       Outbox& out) {
  const AnnouncedBackoff& announced = answer.backoff;
  if (announced.pause == Duration(0)) {
    this->backoff.OnAnswer(answer.instance, answer.sent_at);
  }
  const std::string upstream = KeyValue("upstream", answer.instance) + ' ';
  const bool identified = answer.instance.find('@') != std::string::npos;
  if (announced.leaving &&
      this->backoff.OnLeaving(answer.instance, identified, now)) {
    AddEvent(out, EventKind::kUpstreamChanged, {},
             upstream + KeyValue("state", "leaving"));
  }
  if (announced.pause > Duration(0) &&
      this->backoff.OnPause(this->options.node, answer.instance,
                            announced.pause, now)) {
    AddEvent(
        out, EventKind::kUpstreamChanged, {},
        upstream + KeyValue("state", "paused") + ' ' +
            KeyValue("pause_ms", coordination::Milliseconds(announced.pause)));
  }
  if (announced.malformed) {
    AddEvent(out, EventKind::kUpstreamChanged, {},
             upstream + KeyValue("state", "malformed_backoff"));
  }
}

void Router::Admit(std::uint64_t id, const Upstream& chosen, TimePoint now,
                   Outbox& out) {
  Reservation& reservation = this->reservations.at(id);
  reservation.upstream = chosen.listed.name;
  reservation.instance = chosen.listed.InstanceId();
  reservation.sent_at = now;
  reservation.awaits_answer = true;
  this->poison_parts.OnSent(reservation.request.shared_parts,
                            reservation.instance, now);
  this->upstreams.BeginRequest(
      reservation.upstream,
      reservation.request.kind == RequestKind::kModel ? reservation.amount : 0);
  if (reservation.attempts.count == 1) this->retries.Deposit();
  Admitted admitted;
  admitted.reservation = id;
  admitted.upstream = reservation.upstream;
  admitted.instance = chosen.listed.InstanceId();
  admitted.tries_pause = !this->backoff.Empty();
  this->backoff.OnSent(reservation.instance, kTrialSlots, now);
  admitted.rate_limited = this->permits.Limits().IsLimited(admitted.instance);
  admitted.address = chosen.listed.address;
  admitted.max_tokens = reservation.max_tokens;
  admitted.priority = reservation.targets.first_token / kPriorityUnit;
  admitted.repeatable = reservation.attempts.repeatable;
  // The first-byte timeout of an attempt, as a multiple of the first-token
  // target: by then the target is missed by far.
  constexpr int kFirstByteTargets = 10;
  admitted.first_byte_timeout =
      std::min(reservation.targets.deadline,
               reservation.targets.first_token * kFirstByteTargets);
  admitted.deadline = reservation.targets.deadline;
  AddEvent(out, EventKind::kAdmitted, reservation.request.request_id,
           KeyValue("organisation", reservation.organisation) + ' ' +
               KeyValue("reserved", reservation.amount) + ' ' +
               KeyValue("upstream", reservation.upstream),
           reservation.budget);
  out.replies.push_back(
      AdmissionReply{reservation.request.correlation_id, std::move(admitted)});
}

void Router::OnRetry(const RetryRequest& retry, TimePoint now, Outbox& out) {
  const auto found = this->reservations.find(retry.reservation);
  if (found == this->reservations.end()) return;
  Reservation& reservation = found->second;
  reservation.request.correlation_id = retry.correlation_id;
  reservation.attempts.reached = reservation.attempts.reached || retry.reached;
  this->EndWait(reservation, false, retry.broken, now);
  if (retry.crashed) this->poison_parts.OnCrash(reservation.instance, now);
  const std::int64_t kv_tokens =
      reservation.request.kind == RequestKind::kModel ? reservation.amount : 0;
  this->upstreams.EndRequest(reservation.upstream, kv_tokens);
  this->upstreams.MarkFailed(reservation.upstream, now);
  reservation.failed_upstreams.push_back(reservation.upstream);
  reservation.upstream.clear();
  if (!MayRetry(reservation.attempts, this->retries)) {
    this->Refuse(retry.reservation, FinalError(reservation.attempts), now, out);
    return;
  }
  ++reservation.attempts.count;
  AddEvent(out, EventKind::kRetried, reservation.request.request_id,
           KeyValue("failed", reservation.failed_upstreams.back()));
  this->Dispatch(retry.reservation, now, out);
}

// Refuses a request that no upstream has answered, and ends its reservation.
void Router::Refuse(std::uint64_t id, ErrorKind kind, TimePoint now,
                    Outbox& out, std::optional<std::int64_t> retry_after_s) {
  const Reservation& reservation = this->reservations.at(id);
  const bool is_order = !reservation.attempts.repeatable;
  const bool key_looked_up =
      reservation.intent_committed || reservation.intent_found;
  AddRefusal(out, reservation.request, kind, is_order && !key_looked_up,
             retry_after_s);
  // The intent of an order that was never sent is released, so that the key may
  // be used again. That of an order that may have run stays.
  if (reservation.intent_committed &&
      AnswerFor(kind).run == RunState::kNotRun) {
    Settlement release;
    release.intent = IntentChange::kRelease;
    release.order =
        MakeIntent(id, reservation.organisation, reservation.request);
    this->billing.Add(std::move(release));
  }
  this->EndReservation(id, 0, now);
}

// Ends a reservation of which `used` units were spent.
void Router::EndReservation(std::uint64_t id, std::int64_t used,
                            TimePoint now) {
  const Reservation& reservation = this->reservations.at(id);
  if (reservation.reserved) {
    this->budgets.Settle(reservation.budget, reservation.amount, used, now);
  }
  const std::int64_t kv_tokens =
      reservation.request.kind == RequestKind::kModel ? reservation.amount : 0;
  this->upstreams.EndRequest(reservation.upstream, kv_tokens);
  this->in_progress.End(reservation.organisation,
                        reservation.request.request_key);
  this->permits.Forget(id);
  this->reservations.erase(id);
}

void Router::OnCompletion(const Completion& completion, TimePoint now,
                          Outbox& out) {
  const auto found = this->reservations.find(completion.reservation);
  if (found == this->reservations.end()) return;
  Reservation& reservation = found->second;
  this->EndWait(reservation,
                completion.outcome == CompletionOutcome::kDelivered,
                completion.outcome != CompletionOutcome::kNotRun, now);
  std::int64_t used = completion.prompt_tokens + completion.completion_tokens;
  if (reservation.request.kind == RequestKind::kPlain) {
    const bool ran =
        completion.outcome == CompletionOutcome::kDelivered ||
        completion.outcome == CompletionOutcome::kCallerDisconnected;
    used = ran ? reservation.price : 0;
  }
  const std::int64_t spent =
      std::clamp<std::int64_t>(used, 0, reservation.amount);
  Settlement settlement = this->MakeSettlement(reservation, completion, spent);
  const bool due =
      settlement.has_bill || settlement.intent != IntentChange::kNone;
  AddEvent(out, EventKind::kFinished, reservation.request.request_id,
           KeyValue("outcome", static_cast<std::int64_t>(completion.outcome)) +
               ' ' + KeyValue("spent", spent) + ' ' +
               KeyValue("upstream", reservation.upstream),
           reservation.budget);
  if (due) this->billing.Add(std::move(settlement));
  this->EndReservation(completion.reservation, spent, now);
  this->FlushBilling(now, out);
}

Settlement Router::MakeSettlement(const Reservation& reservation,
                                  const Completion& completion,
                                  std::int64_t spent) const {
  Settlement settlement;
  settlement.has_bill = spent > 0;
  Bill& bill = settlement.bill;
  bill.organisation = reservation.organisation;
  bill.budget = reservation.budget;
  bill.request_key = reservation.request.request_key;
  bill.request_id = reservation.request.request_id;
  bill.fingerprint = reservation.request.fingerprint;
  bill.service = reservation.service;
  bill.version = reservation.version;
  bill.prompt_tokens = completion.prompt_tokens;
  bill.completion_tokens = completion.completion_tokens;
  bill.amount = spent;
  bill.wall_us = completion.wall_us;
  if (!reservation.intent_committed) return settlement;
  settlement.order = MakeIntent(completion.reservation,
                                reservation.organisation, reservation.request);
  if (completion.outcome == CompletionOutcome::kDelivered ||
      completion.outcome == CompletionOutcome::kCallerDisconnected) {
    settlement.intent = IntentChange::kAnswer;
    settlement.answer = completion.answer;
  } else if (completion.outcome == CompletionOutcome::kNotRun) {
    settlement.intent = IntentChange::kRelease;
  }
  return settlement;
}

void Router::OnTableReply(const TableReply& reply, TimePoint now, Outbox& out) {
  BudgetOutcome outcome;
  if (const auto* read = std::get_if<BudgetRead>(&reply)) {
    this->budgets.OnRead(*read, now, outcome);
  } else if (const auto* grant = std::get_if<GrantWritten>(&reply)) {
    this->budgets.OnWritten(*grant, now, outcome);
  } else if (const auto* intent = std::get_if<IntentCommitted>(&reply)) {
    this->OnIntent(*intent, now, out);
  } else if (const auto* batch = std::get_if<BatchWritten>(&reply)) {
    this->OnBatch(*batch, now, out);
  }
  this->ApplyBudgetOutcome(outcome, now, out);
}

void Router::OnIntent(const IntentCommitted& committed, TimePoint now,
                      Outbox& out) {
  const auto found = this->reservations.find(committed.reservation);
  if (found == this->reservations.end()) return;
  Reservation& reservation = found->second;
  if (committed.status == TableStatus::kOk) {
    reservation.intent_committed = true;
    AddEvent(out, EventKind::kIntentCommitted, reservation.request.request_id,
             KeyValue("key", reservation.request.request_key));
    this->ReserveBudget(committed.reservation, now, out);
    return;
  }
  if (committed.status != TableStatus::kConflict) {
    this->Refuse(committed.reservation, ErrorKind::kStoreUnavailable, now, out);
    return;
  }
  reservation.intent_found = true;
  AddEvent(out, EventKind::kIntentExists, reservation.request.request_id,
           KeyValue("key", reservation.request.request_key));
  if (committed.fingerprint != reservation.request.fingerprint) {
    this->Refuse(committed.reservation, ErrorKind::kKeyReused, now, out);
    return;
  }
  if (!committed.answered) {
    this->Refuse(committed.reservation, ErrorKind::kOrderUncertain, now, out);
    return;
  }
  out.replies.push_back(AdmissionReply{reservation.request.correlation_id,
                                       Replayed{committed.answer}});
  this->EndReservation(committed.reservation, 0, now);
}

void Router::OnBatch(const BatchWritten& written, TimePoint now, Outbox& out) {
  const auto done = this->billing.OnWritten(written, now);
  for (const SettledEntry& entry : done) {
    if (!entry.settlement.has_bill) continue;
    const Bill& bill = entry.settlement.bill;
    if (entry.duplicate) this->budgets.Refund(bill.budget, bill.amount);
    AddEvent(out,
             entry.duplicate ? EventKind::kBillDuplicate : EventKind::kBilled,
             bill.request_id, KeyValue("amount", bill.amount), bill.budget);
  }
  if (done.empty()) {
    AddEvent(out, EventKind::kSettleFailed, {},
             KeyValue("backlog",
                      static_cast<std::int64_t>(this->billing.Backlog())));
  }
  this->FlushBilling(now, out);
}

void Router::FlushBilling(TimePoint now, Outbox& out) {
  WriteBatch batch;
  batch.settlements = this->billing.TakeBatch(now);
  if (batch.settlements.empty()) return;
  for (const Settlement& settlement : batch.settlements) {
    if (!settlement.has_bill) continue;
    const std::string& budget = settlement.bill.budget;
    const bool listed = std::any_of(
        batch.totals.begin(), batch.totals.end(),
        [&](const SpentTotal& total) { return total.budget == budget; });
    if (listed) continue;
    batch.totals.push_back(SpentTotal{budget, this->budgets.Spent(budget)});
  }
  out.commands.emplace_back(std::move(batch));
}

// Carries out what the grant manager decided.
void Router::ApplyBudgetOutcome(BudgetOutcome& outcome, TimePoint now,
                                Outbox& out) {
  std::move(outcome.commands.begin(), outcome.commands.end(),
            std::back_inserter(out.commands));
  std::move(outcome.events.begin(), outcome.events.end(),
            std::back_inserter(out.events));
  for (const WaiterOutcome& waiter : outcome.waiters) {
    const auto found = this->reservations.find(waiter.reservation);
    if (found == this->reservations.end()) continue;
    if (!waiter.reserved) {
      this->Refuse(waiter.reservation, waiter.error, now, out);
      continue;
    }
    found->second.reserved = true;
    this->Dispatch(waiter.reservation, now, out);
  }
}

void Router::OnTick(TimePoint now, Outbox& out) {
  BudgetOutcome outcome;
  this->budgets.OnTick(now, outcome);
  const bool drained =
      this->reservations.empty() && this->billing.Backlog() == 0;
  if (this->stopping && drained) this->budgets.ReturnAll(now, outcome);
  this->ApplyBudgetOutcome(outcome, now, out);
  this->Resume(this->permits.OnTick(now, out.peer_messages), now, out);
  this->PruneUpstreams(now);
  this->CollectPartRecords(now, out);
  this->FlushBilling(now, out);
}

void Router::PruneUpstreams(TimePoint now) {
  const bool nothing = this->permits.Limits().Empty() && this->backoff.Empty();
  if (nothing || now < this->next_prune) return;
  this->next_prune = now + kPruneInterval;
  std::set<std::string, std::less<>> live;
  for (const auto& [name, upstream] : this->upstreams.All()) {
    live.insert(upstream.listed.InstanceId());
  }
  this->permits.Limits().Prune(live, now);
  this->backoff.Prune(live, now);
}

bool Router::Stopped() const {
  return this->stopping && this->reservations.empty() &&
         this->billing.Backlog() == 0 && this->budgets.AllReturned();
}

}  // namespace hornbeamspool::policy
