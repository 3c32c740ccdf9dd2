#include "policy/router.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Tokens that a chat template may add around the caller's text.
constexpr std::int64_t kTemplateTokens = 64;
// Units of priority sent to engines: one for each of these.
constexpr Duration kPriorityStep = std::chrono::milliseconds(100);

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
                bool earlier_unknown = false) {
  Refused refused;
  refused.kind = kind;
  refused.earlier_unknown = earlier_unknown;
  out.replies.push_back(AdmissionReply{request.ticket, std::move(refused)});
  AddEvent(out, EventKind::kRefused, request.request_id,
           KeyValue("error", AnswerFor(kind).name) + ' ' +
               KeyValue("run", RunStateName(AnswerFor(kind).run)));
}

CommitIntent IntentOf(std::uint64_t reservation, std::string organisation,
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

// The answer after the last try has failed. Only a request of which no byte
// reached an upstream is said not to have run.
ErrorKind FailureOf(const TryState& tries) {
  if (!tries.reached) return ErrorKind::kUpstreamUnreachable;
  return tries.repeatable ? ErrorKind::kUpstreamFailed
                          : ErrorKind::kOrderUncertain;
}

// The longest prefix wins.
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
    : options(std::move(options)), budgets(this->options.grant_policy) {}

bool Router::SetConfig(std::uint64_t epoch, FleetConfig config, Outbox& out) {
  if (!this->config.Offer(epoch, std::move(config))) return false;
  this->key_holders.clear();
  for (const Organisation& organisation : this->config.Get()->organisations) {
    for (const OrganisationKey& key : organisation.keys) {
      this->key_holders[key.sha256] = KeyHolder{&organisation, key.budget};
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
    const bool leaving = present && found->second.listed.leaving;
    const std::string_view state =
        !present ? "gone" : (leaving ? "leaving" : "live");
    AddEvent(out, EventKind::kUpstreamChanged, {},
             KeyValue("upstream", name) + ' ' + KeyValue("state", state));
  }
}

// Admission. The steps stop at the first refusal; nothing has been sent
// anywhere by then.
void Router::OnRequest(const AdmissionRequest& request, TimePoint now,
                       Outbox& out) {
  // Step 1: the node's own state.
  if (const auto error = this->Gate(request)) {
    const bool keyed =
        request.kind == WorkKind::kPlain && !request.request_key.empty();
    AddRefusal(out, request, *error, keyed);
    return;
  }

  // Step 2: who asks, for what, and its worst case.
  Reservation work;
  work.request = request;
  std::optional<ErrorKind> error = this->Identify(work);
  if (!error) {
    error = request.kind == WorkKind::kModel ? this->PlanModel(work)
                                             : this->PlanPlain(work);
  }
  if (error) {
    AddRefusal(out, request, *error);
    return;
  }

  // Step 3: one request at a time for each key.
  if (work.request.request_key.empty()) {
    work.request.request_key = request.request_id;
  }
  if (!this->in_progress.Begin(work.organisation, work.request.request_key)) {
    AddRefusal(out, request, ErrorKind::kInProgress);
    return;
  }

  // Step 4: an order commits its intent first, so that a repeat gets the
  // recorded answer whatever its budget; anything else sets its worst case
  // aside.
  const std::uint64_t id = this->next_reservation++;
  const bool order = !work.tries.repeatable;
  if (order) {
    out.commands.emplace_back(IntentOf(id, work.organisation, work.request));
  }
  this->reservations.emplace(id, std::move(work));
  if (!order) this->SetAside(id, now, out);
}

// Sets the worst case of a request aside, and goes on when that is done.
void Router::SetAside(std::uint64_t id, TimePoint now, Outbox& out) {
  const Reservation& work = this->reservations.at(id);
  BudgetOutcome outcome;
  const ReserveVerdict verdict =
      this->budgets.Reserve(work.budget, work.amount, id, now, outcome);
  this->Absorb(outcome, now, out);
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

std::optional<ErrorKind> Router::Gate(const AdmissionRequest& request) const {
  if (this->stopping) return ErrorKind::kStopping;
  if (this->config.Get() == nullptr) return ErrorKind::kNotReady;
  if (request.kind >= WorkKind::kCount) return ErrorKind::kMalformedRequest;
  if (this->reservations.size() >= this->options.max_in_flight) {
    return ErrorKind::kOverloaded;
  }
  if (this->billing.Full()) return ErrorKind::kStoreUnavailable;
  return std::nullopt;
}

std::optional<ErrorKind> Router::Identify(Reservation& work) const {
  const auto holder = this->key_holders.find(work.request.key_digest);
  if (holder == this->key_holders.end()) return ErrorKind::kUnauthenticated;
  const Organisation& organisation = *holder->second.organisation;
  work.organisation = organisation.name;
  work.budget = std::string(holder->second.budget);
  std::string_view class_name = work.request.work_class;
  if (class_name.empty()) class_name = organisation.classes.front();
  const WorkClass* work_class = FindClass(*this->config.Get(), class_name);
  if (work_class == nullptr) return ErrorKind::kUnknownClass;
  const auto& allowed = organisation.classes;
  if (std::find(allowed.begin(), allowed.end(), class_name) == allowed.end()) {
    return ErrorKind::kForbidden;
  }
  work.targets = work_class->targets;
  return std::nullopt;
}

std::optional<ErrorKind> Router::PlanModel(Reservation& work) const {
  const FleetConfig& config = *this->config.Get();
  const auto model = std::find_if(
      config.models.begin(), config.models.end(),
      [&](const Model& model) { return model.name == work.request.target; });
  if (model == config.models.end()) return ErrorKind::kUnknownModel;
  work.service = model->service;
  work.version = model->version;
  work.max_tokens = work.request.max_tokens.value_or(model->default_max_tokens);
  if (work.max_tokens < 1) return ErrorKind::kMalformedRequest;
  if (work.max_tokens > model->limit_max_tokens) {
    return ErrorKind::kTooManyTokens;
  }
  // No tokenizer makes more tokens than this of the prompt.
  const std::int64_t prompt_tokens =
      work.request.prompt_bytes / model->min_bytes_per_token + kTemplateTokens;
  work.amount = prompt_tokens + work.max_tokens;
  work.tries.repeatable = true;
  return std::nullopt;
}

std::optional<ErrorKind> Router::PlanPlain(Reservation& work) const {
  const FleetConfig& config = *this->config.Get();
  const PlainRoute* route = FindRoute(config, work.request.target);
  if (route == nullptr) return ErrorKind::kNotFound;
  const RouteCall* call = FindCall(*route, work.request.method);
  if (call == nullptr) return ErrorKind::kMethodNotAllowed;
  const bool needs_key = !call->repeatable && call->key_required;
  if (needs_key && work.request.request_key.empty()) {
    return ErrorKind::kKeyRequired;
  }
  work.service = route->service;
  work.price = route->price_tokens;
  work.amount = route->price_tokens;
  work.tries.repeatable = call->repeatable;
  return std::nullopt;
}

void Router::Dispatch(std::uint64_t id, TimePoint now, Outbox& out) {
  Reservation& work = this->reservations.at(id);
  UpstreamDemand demand;
  demand.service = work.service;
  demand.version = work.version;
  demand.availability_zone = this->options.availability_zone;
  demand.tokens = work.request.kind == WorkKind::kModel ? work.amount : 0;
  demand.excluded = work.failed_upstreams;
  const Upstream* chosen = this->upstreams.Choose(demand, now);
  if (chosen == nullptr) {
    const bool tried = !work.failed_upstreams.empty();
    this->Refuse(id, tried ? FailureOf(work.tries) : ErrorKind::kNoUpstream,
                 now, out);
    return;
  }
  work.upstream = chosen->listed.name;
  this->upstreams.Open(work.upstream, demand.tokens);
  if (work.tries.tries == 1) this->retries.NoteFirstTry();
  Admitted admitted;
  admitted.reservation = id;
  admitted.upstream = work.upstream;
  admitted.address = chosen->listed.address;
  admitted.max_tokens = work.max_tokens;
  admitted.priority = work.targets.first_token / kPriorityStep;
  admitted.repeatable = work.tries.repeatable;
  // A try that is this late has missed its target several times over.
  constexpr int kFirstByteTargets = 10;
  admitted.first_byte_timeout = std::min(
      work.targets.deadline, work.targets.first_token * kFirstByteTargets);
  admitted.deadline = work.targets.deadline;
  AddEvent(out, EventKind::kAdmitted, work.request.request_id,
           KeyValue("organisation", work.organisation) + ' ' +
               KeyValue("reserved", work.amount) + ' ' +
               KeyValue("upstream", work.upstream),
           work.budget);
  out.replies.push_back(
      AdmissionReply{work.request.ticket, std::move(admitted)});
}

void Router::OnRetry(const RetryRequest& retry, TimePoint now, Outbox& out) {
  const auto found = this->reservations.find(retry.reservation);
  if (found == this->reservations.end()) return;
  Reservation& work = found->second;
  work.request.ticket = retry.ticket;
  work.tries.reached = work.tries.reached || retry.reached;
  const std::int64_t held =
      work.request.kind == WorkKind::kModel ? work.amount : 0;
  this->upstreams.Close(work.upstream, held);
  this->upstreams.Avoid(work.upstream, now);
  work.failed_upstreams.push_back(work.upstream);
  work.upstream.clear();
  if (!MayRetry(work.tries, this->retries)) {
    this->Refuse(retry.reservation, FailureOf(work.tries), now, out);
    return;
  }
  ++work.tries.tries;
  AddEvent(out, EventKind::kRetried, work.request.request_id,
           KeyValue("failed", work.failed_upstreams.back()));
  this->Dispatch(retry.reservation, now, out);
}

// Ends a reservation that never gets an answer of an upstream.
void Router::Refuse(std::uint64_t id, ErrorKind kind, TimePoint now,
                    Outbox& out) {
  const Reservation& work = this->reservations.at(id);
  const bool order = !work.tries.repeatable;
  const bool looked_up = work.intent_committed || work.intent_found;
  AddRefusal(out, work.request, kind, order && !looked_up);
  // A committed intent whose order was never sent is released, so that a
  // repeat of the key may run. One that may have run stays.
  if (work.intent_committed && AnswerFor(kind).run == RunState::kNotRun) {
    Settlement release;
    release.intent = IntentChange::kRelease;
    release.order = IntentOf(id, work.organisation, work.request);
    this->billing.Add(std::move(release));
  }
  this->Close(id, 0, now);
}

// Ends a reservation, with `used` units spent.
void Router::Close(std::uint64_t id, std::int64_t used, TimePoint now) {
  const Reservation& work = this->reservations.at(id);
  if (work.reserved) this->budgets.Settle(work.budget, work.amount, used, now);
  const std::int64_t held =
      work.request.kind == WorkKind::kModel ? work.amount : 0;
  this->upstreams.Close(work.upstream, held);
  this->in_progress.End(work.organisation, work.request.request_key);
  this->reservations.erase(id);
}

void Router::OnCompletion(const Completion& completion, TimePoint now,
                          Outbox& out) {
  const auto found = this->reservations.find(completion.reservation);
  if (found == this->reservations.end()) return;
  const Reservation& work = found->second;
  std::int64_t used = completion.prompt_tokens + completion.completion_tokens;
  if (work.request.kind == WorkKind::kPlain) {
    const bool ran = completion.outcome == CompletionOutcome::kWhole ||
                     completion.outcome == CompletionOutcome::kCallerGone;
    used = ran ? work.price : 0;
  }
  const std::int64_t spent = std::clamp<std::int64_t>(used, 0, work.amount);
  Settlement settlement = this->SettlementOf(work, completion, spent);
  const bool due =
      settlement.has_bill || settlement.intent != IntentChange::kNone;
  AddEvent(out, EventKind::kFinished, work.request.request_id,
           KeyValue("outcome", static_cast<std::int64_t>(completion.outcome)) +
               ' ' + KeyValue("spent", spent) + ' ' +
               KeyValue("upstream", work.upstream),
           work.budget);
  if (due) this->billing.Add(std::move(settlement));
  this->Close(completion.reservation, spent, now);
  this->FlushBilling(now, out);
}

Settlement Router::SettlementOf(const Reservation& work,
                                const Completion& completion,
                                std::int64_t spent) const {
  Settlement settlement;
  settlement.has_bill = spent > 0;
  Bill& bill = settlement.bill;
  bill.organisation = work.organisation;
  bill.budget = work.budget;
  bill.request_key = work.request.request_key;
  bill.request_id = work.request.request_id;
  bill.fingerprint = work.request.fingerprint;
  bill.service = work.service;
  bill.version = work.version;
  bill.prompt_tokens = completion.prompt_tokens;
  bill.completion_tokens = completion.completion_tokens;
  bill.amount = spent;
  bill.wall_us = completion.wall_us;
  if (!work.intent_committed) return settlement;
  settlement.order =
      IntentOf(completion.reservation, work.organisation, work.request);
  if (completion.outcome == CompletionOutcome::kWhole ||
      completion.outcome == CompletionOutcome::kCallerGone) {
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
  this->Absorb(outcome, now, out);
}

void Router::OnIntent(const IntentCommitted& committed, TimePoint now,
                      Outbox& out) {
  const auto found = this->reservations.find(committed.reservation);
  if (found == this->reservations.end()) return;
  Reservation& work = found->second;
  if (committed.status == TableStatus::kOk) {
    work.intent_committed = true;
    AddEvent(out, EventKind::kIntentCommitted, work.request.request_id,
             KeyValue("key", work.request.request_key));
    this->SetAside(committed.reservation, now, out);
    return;
  }
  if (committed.status != TableStatus::kConflict) {
    this->Refuse(committed.reservation, ErrorKind::kStoreUnavailable, now, out);
    return;
  }
  work.intent_found = true;
  AddEvent(out, EventKind::kIntentExists, work.request.request_id,
           KeyValue("key", work.request.request_key));
  if (committed.fingerprint != work.request.fingerprint) {
    this->Refuse(committed.reservation, ErrorKind::kKeyReused, now, out);
    return;
  }
  if (!committed.answered) {
    this->Refuse(committed.reservation, ErrorKind::kOrderUncertain, now, out);
    return;
  }
  out.replies.push_back(
      AdmissionReply{work.request.ticket, Replayed{committed.answer}});
  this->Close(committed.reservation, 0, now);
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
        [&](const SettledTotal& total) { return total.budget == budget; });
    if (listed) continue;
    batch.totals.push_back(SettledTotal{budget, this->budgets.Spent(budget)});
  }
  out.commands.emplace_back(std::move(batch));
}

// Carries out what the grant manager decided.
void Router::Absorb(BudgetOutcome& outcome, TimePoint now, Outbox& out) {
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
  this->Absorb(outcome, now, out);
  this->FlushBilling(now, out);
}

bool Router::Stopped() const {
  return this->stopping && this->reservations.empty() &&
         this->billing.Backlog() == 0 && this->budgets.AllReturned();
}

}  // namespace hornbeamspool::policy
