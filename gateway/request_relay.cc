#include "gateway/request_relay.h"

#include <algorithm>
#include <array>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "gateway/backoff_sync.h"
#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/peer_tunnels.h"
#include "gateway/permit_broker.h"
#include "gateway/rate_log.h"
#include "gateway/refusal_log.h"
#include "gateway/stream_relay.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "platform/request_headers.h"
#include "policy/announced_rate.h"
#include "policy/answer_verdict.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;
using policy::AdmittedRequest;
using policy::AnswerVerdict;
using policy::BudgetVerdict;
using policy::ErrorKind;
using policy::KeyValue;
using policy::Refusal;
using policy::SendOutcome;
using policy::SendPlan;

// Counters of refusals of one kind.
constexpr std::array<std::pair<ErrorKind, Counter>, 6> kRefusalCounters{
    {{ErrorKind::kBudgetUnavailable, Counter::kBudgetRefusals},
     {ErrorKind::kBudgetExhausted, Counter::kBudgetRefusals},
     {ErrorKind::kUpstreamRateLimited, Counter::kRateLimitRefusals},
     {ErrorKind::kUpstreamBackoff, Counter::kBackoffRefusals},
     {ErrorKind::kCrashSuspect, Counter::kSuspectRefusals},
     {ErrorKind::kPoisonPart, Counter::kPartRefusals}}};

// How long a request waits for tokens: time for two peers that time out and a
// write to the store.
constexpr Duration kBudgetTimeout = std::chrono::milliseconds(250);

// How long a request waits for tokens that the share's rate limit has not
// released yet. At least half of the time until the caller's deadline is left
// for the answer.
constexpr Duration kRateLimitTimeout = std::chrono::milliseconds(1500);

// A TCP handshake takes 2 ms within a region; a lost packet is retransmitted
// after 200 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

// A pooled connection that has been idle longer may have been closed by the
// upstream without notice. A request that must run at most once is not sent on
// it.
constexpr Duration kMaxIdleForNonIdempotent = std::chrono::seconds(1);

// Prompts with at least this many tokens to prefill are announced to peers: an
// engine takes 30 ms or more for one, and two at once stall its other streams.
constexpr std::int64_t kLongPromptTokens = 4000;

constexpr std::size_t kReadBufferBytes = 8 * 1024;

// Approximate size of a message's HTTP head and its packet headers.
constexpr std::int64_t kHeaderOverheadBytes = 700;

// Answers to earlier requests that are skipped on one connection.
constexpr int kMaxStaleAnswers = 4;

std::string_view NameOf(SendOutcome outcome) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(SendOutcome::kCount)>
      kNames{"answered",    "upstream_error", "error_relayed", "rejected",
             "misdirected", "unreachable",    "not_listening", "no_room",
             "withheld",    "broken",         "silent",        "abandoned"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

// An answer's head, as it is logged if the send fails.
struct LoggedAnswer {
  std::uint16_t status = 0;
  std::string request_id;  // that it names; may be empty
  http::ConnectionUse connection;
  TimePoint received_at{};

  // `own_id`: of the request that was sent.
  std::string Fields(std::string_view own_id) const {
    std::string fields = ' ' + KeyValue("status", std::int64_t{this->status});
    fields += ' ' + KeyValue("answer_id", this->request_id == own_id ? "own"
                                          : this->request_id.empty() ? "none"
                                                                     : "other");
    fields +=
        ' ' + KeyValue("connection",
                       static_cast<std::int64_t>(this->connection.number));
    fields +=
        ' ' + KeyValue("earlier_requests", this->connection.earlier_requests);
    fields +=
        ' ' +
        KeyValue("connection_age_ms",
                 Milliseconds(this->received_at - this->connection.opened_at));
    return fields;
  }
};

// One request's reservation of the VM's memory for buffered answers, and of the
// memory for its exchange; released on destruction.
class BufferReservation {
 public:
  BufferReservation(policy::BufferQuota& quota, http::Exchange& exchange)
      : quota(&quota), exchange(&exchange) {}
  BufferReservation(const BufferReservation&) = delete;
  BufferReservation& operator=(const BufferReservation&) = delete;
  ~BufferReservation() { this->quota->Release(this->reserved); }

  bool TryReserve(std::size_t bytes) {
    const auto count = static_cast<std::int64_t>(bytes);
    if (!this->quota->TryReserve(count)) return false;
    this->reserved += count;
    return this->exchange->TryReserve(2 * bytes);  // a string doubles
  }

 private:
  policy::BufferQuota* quota;
  http::Exchange* exchange;
  std::int64_t reserved = 0;
};

// How a send ends whose answer is not relayed.
SendOutcome OutcomeOf(AnswerVerdict verdict) {
  switch (verdict) {
    case AnswerVerdict::kRejected:
      return SendOutcome::kRejected;
    case AnswerVerdict::kMisdirected:
      return SendOutcome::kMisdirected;
    case AnswerVerdict::kFailed:
      return SendOutcome::kUpstreamError;
    default:
      return SendOutcome::kBroken;
  }
}

class RequestRelay {
 public:
  RequestRelay(const Context& context, http::Exchange& exchange)
      : context(&context),
        exchange(&exchange),
        arrived(Now()),
        buffered(context.core->AnswerBuffers(), exchange) {}

  http::Task<void> Run();
  // Releases what the request holds. Also called after an exception, but not by
  // a destructor: relays that are left when the gateway ends outlive its core.
  void Finish();

 private:
  http::Task<std::optional<Refusal>> ReserveBudget();
  http::Task<void> SendWithRetries();
  http::Task<void> AwaitPermit(policy::NextStep step);
  http::Task<SendOutcome> Send(SendPlan& plan);
  http::Task<SendOutcome> RelayBuffered(http::ResponseStream& stream);
  http::Task<std::optional<std::string>> ReadWholeBody(
      http::ResponseStream& stream);
  http::Task<void> SendRefusal(const Refusal& refusal);
  void RecordRate(const SendPlan& plan, const policy::AnnouncedRate& rate);
  void RecordBrittle(const SendPlan& plan, bool brittle);
  void RecordTimings();
  void LogSend(const SendPlan& plan, SendOutcome outcome);

  const Context* context;
  http::Exchange* exchange;
  coordination::TimePoint arrived;
  BufferReservation buffered;
  http::Canceller canceller;
  std::optional<AdmittedRequest> admitted;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::string sent_through;  // VM whose connection carried the last send
  std::optional<LoggedAnswer> last_answer;  // to the last send
  // An upstream's error answer, relayed when no retry succeeds.
  std::optional<http::Response> upstream_error;
};

http::Task<void> RequestRelay::Run() {
  // Step 1: parse the request.
  std::string fault;
  std::optional<policy::GatewayRequest> request =
      platform::DecodeRequest(this->exchange->GetRequest(), fault);
  if (!request) {
    co_await this->exchange->Send(
        ErrorResponse(ErrorKind::kMalformedRequest, fault));
    co_return;
  }
  this->request_id = request->id;
  this->fingerprint = request->fingerprint;
  this->context->metrics->Add(Counter::kRequests);
  this->context->core->Link().AddReceived(
      kHeaderOverheadBytes +
          static_cast<std::int64_t>(this->exchange->GetRequest().body.size()),
      this->arrived);

  // Step 2: check route and key, and reserve budget.
  auto admission =
      this->context->core->Admit(std::move(*request), this->arrived);
  if (const auto* refusal = std::get_if<Refusal>(&admission)) {
    co_await this->SendRefusal(*refusal);
    co_return;
  }
  this->admitted = std::get<AdmittedRequest>(std::move(admission));
  this->exchange->OnDisconnect([this] { this->canceller.Cancel(); });
  if (const std::optional<Refusal> refusal = co_await this->ReserveBudget()) {
    co_await this->SendRefusal(*refusal);
  } else {
    // Step 3: send to upstreams, one after another.
    co_await this->SendWithRetries();
  }
}

void RequestRelay::Finish() {
  if (!this->admitted) return;
  this->exchange->OnDisconnect(nullptr);
  this->context->core->Finish(*this->admitted);
}

http::Task<std::optional<Refusal>> RequestRelay::ReserveBudget() {
  policy::GatewayCore& core = *this->context->core;
  TokenBroker& broker = *this->context->token_broker;
  const coordination::TimePoint deadline = this->admitted->deadline;
  coordination::TimePoint give_up =
      std::min(this->arrived + kBudgetTimeout, deadline);
  while (true) {
    BudgetVerdict verdict = core.ReserveBudget(*this->admitted, Now());
    if (verdict == BudgetVerdict::kReserved) {
      if (this->admitted->reserved > 0) {
        broker.Prefetch(this->admitted->organisation->name);
      }
      co_return std::nullopt;
    }
    const bool waits = Now() < give_up && !this->canceller.Cancelled();
    if (waits) {
      verdict = co_await broker.WaitForTokens(
          this->admitted->organisation->name,
          this->admitted->request.demand->MaxTokens(), give_up);
      if (verdict == BudgetVerdict::kRateLimited) {
        const coordination::TimePoint half =
            this->arrived + (deadline - this->arrived) / 2;
        give_up = std::min(this->arrived + kRateLimitTimeout, half);
        continue;
      }
      if (verdict == BudgetVerdict::kReserved) continue;
    }
    if (verdict == BudgetVerdict::kExhausted) {
      co_return Refusal{ErrorKind::kBudgetExhausted, {}};
    }
    co_return Refusal{ErrorKind::kBudgetUnavailable, std::chrono::seconds(1)};
  }
}

http::Task<void> RequestRelay::SendWithRetries() {
  policy::GatewayCore& core = *this->context->core;
  std::optional<Refusal> last;
  while (true) {
    auto next = core.NextSend(*this->admitted, Now());
    if (const auto* refusal = std::get_if<Refusal>(&next)) {
      if (!last) last = *refusal;
      break;
    }
    if (!std::holds_alternative<SendPlan>(next)) {
      co_await this->AwaitPermit(std::move(next));
      if (!this->canceller.Cancelled()) continue;
      this->exchange->Abort();
      co_return;
    }
    auto& plan = std::get<SendPlan>(next);
    SendOutcome outcome = SendOutcome::kBroken;
    try {
      outcome = co_await this->Send(plan);
    } catch (...) {
      core.OnSendEnded(*this->admitted, plan, outcome, Now());
      throw;
    }
    const bool may_retry =
        core.OnSendEnded(*this->admitted, plan, outcome, Now());
    this->LogSend(plan, outcome);
    if (outcome != SendOutcome::kAnswered) {
      this->context->crashes->OnSendFailed(plan.upstream, outcome);
    }
    if (policy::IsAnswer(outcome)) co_return;
    const bool gone =
        outcome == SendOutcome::kAbandoned || this->canceller.Cancelled();
    if (gone) {
      this->exchange->Abort();
      co_return;
    }
    last = core.FinalRefusal(*this->admitted, outcome);
    if (!may_retry) break;
  }
  if (this->admitted->started) {
    // The caller sees a chunked body without its terminating chunk.
    this->exchange->Abort();
    co_return;
  }
  if (this->upstream_error) {
    co_await this->exchange->Send(std::move(*this->upstream_error));
    co_return;
  }
  co_await this->SendRefusal(*last);
}

// Requests the permit, or waits until there may be one.
http::Task<void> RequestRelay::AwaitPermit(policy::NextStep step) {
  if (const auto* wait = std::get_if<policy::PermitWait>(&step)) {
    http::Timer timer(*this->context->io);
    timer.expires_at(wait->until);
    co_await timer.async_wait(http::kAwait);
    co_return;
  }
  auto& needed = std::get<policy::PermitRequest>(step);
  if (co_await this->context->permits->Request(needed)) {
    this->context->core->OnPermit(*this->admitted, std::move(needed.instance));
  }
}

http::Task<SendOutcome> RequestRelay::Send(SendPlan& plan) {
  const AdmittedRequest& admitted = *this->admitted;
  this->last_answer.reset();
  if (plan.record.prefill_tokens >= kLongPromptTokens) {
    this->context->peers->SendToRandomPeers(
        {plan.upstream.id, plan.record.prefill_tokens}, Now());
  }
  platform::UpstreamRequestHeaders headers;
  headers.upstream = plan.upstream.id;
  if (admitted.organisation) headers.organisation = admitted.organisation->name;
  headers.time_left = plan.time_left;
  headers.priority = plan.urgency;
  headers.resume_after = admitted.last_event_id;

  http::FetchOptions options;
  options.connect_timeout = kConnectTimeout;
  options.first_byte_timeout = plan.time_left;
  options.read_timeout = plan.time_left;
  options.deadline = admitted.deadline;
  options.may_resend = [this, &plan] {
    return this->context->core->TakeResend(*this->admitted, plan.upstream,
                                           Now());
  };
  if (!admitted.route->MayRepeat()) {
    options.max_idle_time = kMaxIdleForNonIdempotent;
  }
  options.max_connections = plan.max_connections;
  options.fresh_connection = plan.fresh_connection;
  options.canceller = &this->canceller;
  http::Request sent =
      platform::BuildUpstreamRequest(this->exchange->GetRequest(), headers);
  this->context->core->Link().AddSent(
      kHeaderOverheadBytes + static_cast<std::int64_t>(sent.Body().size()),
      Now());
  const PeerTunnels::Opened carried = co_await this->context->tunnels->Open(
      plan.upstream, std::move(sent), options);
  const http::OpenResult& opened = carried.result;
  this->sent_through = carried.vm;
  if (opened.status == http::FetchStatus::kRefused) {
    co_return SendOutcome::kNotListening;
  }
  if (opened.status == http::FetchStatus::kUnreachable ||
      opened.status == http::FetchStatus::kNoTunnel) {
    co_return this->canceller.Cancelled() ? SendOutcome::kAbandoned
                                          : SendOutcome::kUnreachable;
  }
  if (opened.status == http::FetchStatus::kConnectionLimit) {
    co_return SendOutcome::kNoRoom;
  }
  if (opened.status == http::FetchStatus::kWithheld) {
    this->context->metrics->Add(Counter::kSendsWithheld);
    co_return SendOutcome::kWithheld;
  }
  if (opened.status == http::FetchStatus::kTimeout) {
    co_return SendOutcome::kSilent;
  }
  if (opened.status != http::FetchStatus::kOk) co_return SendOutcome::kBroken;

  http::ResponseStream& stream = *opened.stream;
  platform::ResponseInfo info;
  policy::AnswerJudgement judgement;
  for (int stale = 0;; ++stale) {
    info = platform::DecodeUpstreamResponse(stream.Head());
    info.answer.earlier_requests = stream.Connection().earlier_requests;
    this->last_answer = {stream.Head().status, info.answer.request_id,
                         stream.Connection(), Now()};
    judgement = policy::JudgeAnswer(info.answer, this->request_id,
                                    admitted.route->MayRepeat());
    if (judgement.verdict != AnswerVerdict::kStale) break;
    this->context->metrics->Add(Counter::kStaleAnswers);
    if (stale == kMaxStaleAnswers) {
      stream.Close();
      co_return SendOutcome::kBroken;
    }
    const http::FetchStatus next = co_await stream.ReadNext();
    if (next == http::FetchStatus::kTimeout) co_return SendOutcome::kSilent;
    if (next != http::FetchStatus::kOk) co_return SendOutcome::kBroken;
  }
  if (policy::IsUnnamedRejection(info.answer)) {
    this->context->core->Unnamed().OnRejection(admitted.service->name, Now());
  }
  if (!info.answer.misdirected) {
    this->context->backoff->OnAnswer(plan.upstream, carried.vm, info.backoff,
                                     plan.record.sent_at, Now());
  }
  if (judgement.verdict == AnswerVerdict::kUnusable) {
    stream.Close();
    co_return SendOutcome::kBroken;
  }
  if (!info.answer.misdirected) {
    this->RecordRate(plan, info.rate);
    this->RecordBrittle(plan, info.brittle);
  }
  if (info.load) {
    this->context->core->Selector().OnLoadReport(plan.upstream.id, *info.load,
                                                 Now());
  }
  if (judgement.verdict != AnswerVerdict::kAnswered) {
    const bool whole = (co_await this->ReadWholeBody(stream)).has_value();
    if (!whole || !judgement.keep_connection) stream.Close();
    co_return OutcomeOf(judgement.verdict);
  }
  if (admitted.route->kind == policy::RouteKind::kStream &&
      info.answer.success) {
    StreamRelay relay(*this->context->core, *this->admitted, plan,
                      *this->exchange, stream,
                      [this] { this->context->crashes->PublishNotices(); });
    co_return co_await relay.Run();
  }
  this->context->core->Selector().OnStarted(plan.record, Now());
  co_return co_await this->RelayBuffered(stream);
}

// Empty when the body was cut off or there is no memory to buffer it.
http::Task<std::optional<std::string>> RequestRelay::ReadWholeBody(
    http::ResponseStream& stream) {
  std::string body;
  std::array<char, kReadBufferBytes> buffer{};
  while (true) {
    const http::ReadResult read = co_await stream.Read(buffer);
    if (read.status != http::FetchStatus::kOk) co_return std::nullopt;
    if (read.count == 0) co_return body;
    if (!this->buffered.TryReserve(read.count)) co_return std::nullopt;
    body.append(buffer.data(), read.count);
  }
}

// Relays an answer after all of it has arrived.
http::Task<SendOutcome> RequestRelay::RelayBuffered(
    http::ResponseStream& stream) {
  std::optional<std::string> body = co_await this->ReadWholeBody(stream);
  if (!body) {
    co_return Now() >= this->admitted->deadline ? SendOutcome::kSilent
                                                : SendOutcome::kBroken;
  }
  http::Response answer = platform::BuildCallerResponse(stream.Head());
  answer.body = std::move(*body);
  const std::int64_t bytes =
      kHeaderOverheadBytes + static_cast<std::int64_t>(answer.body.size());
  this->context->core->Link().AddReceived(bytes, Now());
  const bool failure = answer.status >= 500;
  const bool may_try_again = failure && this->admitted->route->MayRepeat();
  if (may_try_again && !this->admitted->started) {
    this->upstream_error = std::move(answer);
    co_return SendOutcome::kUpstreamError;
  }
  // A stream that has started can't relay an error answer any more.
  if (this->admitted->started) co_return SendOutcome::kBroken;
  this->context->core->Link().AddSent(bytes, Now());
  const bool sent = co_await this->exchange->Send(std::move(answer));
  if (!sent) co_return SendOutcome::kAbandoned;
  co_return failure ? SendOutcome::kErrorRelayed : SendOutcome::kAnswered;
}

http::Task<void> RequestRelay::SendRefusal(const Refusal& refusal) {
  const policy::ErrorAnswer& answer = policy::AnswerFor(refusal.kind);
  std::string fields = KeyValue("request", this->request_id);
  fields += ' ' + KeyValue("fingerprint", policy::Hex(this->fingerprint));
  fields += ' ' + KeyValue("reason", answer.name);
  fields += ' ' + KeyValue("status", std::int64_t{answer.status});
  fields += ' ' + KeyValue("after_ms", Milliseconds(Now() - this->arrived));
  if (refusal.poison_part) {
    fields += ' ' + KeyValue("poison_part", policy::Hex(*refusal.poison_part));
  }
  if (!refusal.fields.empty()) fields += ' ' + refusal.fields;
  if (this->admitted) {
    fields += AdmittedFields(*this->admitted, refusal,
                             this->context->core->Budgets());
  }
  this->context->log->Write(LogKind::kRefused, fields, Now());
  this->context->metrics->Add(Counter::kRefusals);
  for (const auto& [kind, counter] : kRefusalCounters) {
    if (kind == refusal.kind) this->context->metrics->Add(counter);
  }
  http::Response response = RefusalResponse(refusal);
  co_await this->exchange->Send(std::move(response));
}

// Takes the rate limit that an answer names, and logs what it changed.
void RequestRelay::RecordRate(const SendPlan& plan,
                              const policy::AnnouncedRate& rate) {
  const coordination::TimePoint now = Now();
  const std::string instance = plan.upstream.InstanceId();
  const auto change = this->context->core->Limits().OnAnswer(
      instance, rate, plan.record.sent_at, now);
  LogRateChange(*this->context, instance, change, rate, "answer", now);
  this->context->permits->Announce(instance, change, now);
}

void RequestRelay::RecordBrittle(const SendPlan& plan, bool brittle) {
  const coordination::TimePoint now = Now();
  const bool news = this->context->core->Brittle().OnAnswer(
      plan.upstream, brittle, plan.record.sent_at, now);
  if (!news) return;
  this->context->log->Write(
      LogKind::kUpstream,
      KeyValue("service", plan.upstream.service) + ' ' +
          KeyValue("state", brittle ? "brittle" : "not_brittle"),
      now);
}

void RequestRelay::RecordTimings() {
  Metrics& metrics = *this->context->metrics;
  metrics.Observe(Timing::kWholeAnswer, Now() - this->arrived);
  if (!this->admitted->started) return;
  metrics.Observe(Timing::kFirstToken, this->admitted->time_to_first_event);
  metrics.Observe(Timing::kTokenGap, this->admitted->longest_pause);
}

void RequestRelay::LogSend(const SendPlan& plan, SendOutcome outcome) {
  LogKind kind = LogKind::kSendFailed;
  Counter counter = Counter::kSendsFailed;
  if (outcome == SendOutcome::kAnswered) {
    kind = LogKind::kServed;
    counter = Counter::kServed;
    this->RecordTimings();
  } else if (this->admitted->started) {
    kind = LogKind::kBroken;
    counter = Counter::kAnswersBroken;
  }
  this->context->metrics->Add(counter);
  const bool answered = outcome == SendOutcome::kAnswered;
  if (this->admitted->sends > 1) this->context->metrics->Add(Counter::kRetries);
  std::string fields = KeyValue("request", this->request_id);
  fields += ' ' + KeyValue("fingerprint", policy::Hex(this->fingerprint));
  fields += ' ' + KeyValue("route", this->admitted->route->name);
  fields += ' ' + KeyValue("upstream", plan.upstream.id);
  fields += ' ' + KeyValue("outcome", NameOf(outcome));
  if (this->sent_through != this->context->peers->Vm()) {
    fields += ' ' + KeyValue("through", this->sent_through);
  }
  fields += ' ' + KeyValue("send", this->admitted->sends);
  fields += ' ' + KeyValue("events", this->admitted->events_delivered);
  if (!answered && this->last_answer) {
    fields += this->last_answer->Fields(this->request_id);
  }
  if (!answered) fields += PartsField(this->admitted->request);
  if (this->admitted->started) {
    fields += ' ' + KeyValue("first_ms",
                             Milliseconds(this->admitted->time_to_first_event));
    fields += ' ' + KeyValue("longest_pause_ms",
                             Milliseconds(this->admitted->longest_pause));
  }
  fields += ' ' + KeyValue("after_ms", Milliseconds(Now() - this->arrived));
  this->context->log->Write(kind, fields, Now());
}

}  // namespace

http::Response RefusalResponse(const Refusal& refusal) {
  policy::Refused refused;
  refused.kind = refusal.kind;
  refused.retry_after_s = 0;
  http::Response response = ErrorResponse(refused);
  if (refusal.retry_after > Duration(0)) {
    platform::SetRetryAfter(response, refusal.retry_after);
  }
  return response;
}

http::Task<void> ServeRequest(const Context& context,
                              http::Exchange& exchange) {
  RequestRelay relay(context, exchange);
  try {
    co_await relay.Run();
  } catch (...) {
    relay.Finish();
    throw;
  }
  relay.Finish();
}

}  // namespace hornbeamspool::gateway
