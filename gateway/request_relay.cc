#include "gateway/request_relay.h"

#include <array>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/stream_relay.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "platform/request_headers.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using policy::AdmittedRequest;
using policy::BudgetVerdict;
using policy::ErrorKind;
using policy::KeyValue;
using policy::Refusal;
using policy::SendOutcome;
using policy::SendPlan;

// A request waits this long for tokens: an ask of two peers that are silent,
// and a write to the store.
constexpr Duration kBudgetWait = std::chrono::milliseconds(250);

// The same when the tokens are there, and a share's pace holds them back. Half
// of the caller's time is left for the answer.
constexpr Duration kPaceWait = std::chrono::milliseconds(1500);

// A handshake takes 2 ms within a region; a lost packet is sent again after
// 200 ms.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

// A pooled connection that has been idle longer may be closed by its upstream
// without notice; a request that runs at most once is not risked on it.
constexpr Duration kLongestIdleForOrders = std::chrono::seconds(1);

// Prompts of which peers are told: an engine reads them for 30 ms and more, and
// two at once make its other streams pause.
constexpr std::int64_t kLongPrompt = 4000;

constexpr std::size_t kPieceBytes = 8 * 1024;

// A message's head and its packets' headers, roughly.
constexpr std::int64_t kHeadBytes = 700;

std::string_view NameOf(SendOutcome outcome) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(SendOutcome::kCount)>
      kNames{"answered",    "upstream_error", "error_relayed", "rejected",
             "misdirected", "unreachable",    "not_listening", "no_room",
             "broken",      "silent",         "abandoned"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

// What one request holds of its VM's room for answers; given back at its end.
class HeldAnswer {
 public:
  explicit HeldAnswer(policy::BufferQuota& room) : room(&room) {}
  HeldAnswer(const HeldAnswer&) = delete;
  HeldAnswer& operator=(const HeldAnswer&) = delete;
  ~HeldAnswer() { this->room->Release(this->taken); }

  bool Take(std::size_t bytes) {
    const auto count = static_cast<std::int64_t>(bytes);
    if (!this->room->TryReserve(count)) return false;
    this->taken += count;
    return true;
  }

 private:
  policy::BufferQuota* room;
  std::int64_t taken = 0;
};

class RequestRelay {
 public:
  RequestRelay(const Context& context, http::Exchange& exchange)
      : context(&context),
        exchange(&exchange),
        arrived(Now()),
        held(context.core->AnswerBuffers()) {}

  http::Task<void> Run();

 private:
  http::Task<std::optional<Refusal>> Pay();
  http::Task<void> SendUntilAnswered();
  http::Task<SendOutcome> Send(SendPlan& plan);
  http::Task<SendOutcome> RelayWhole(http::ResponseStream& stream);
  http::Task<std::optional<std::string>> ReadBody(http::ResponseStream& stream);
  http::Task<void> Refuse(const Refusal& refusal);
  void ObserveTimes();
  void LogSend(const SendPlan& plan, SendOutcome outcome);

  const Context* context;
  http::Exchange* exchange;
  coordination::TimePoint arrived;
  HeldAnswer held;
  http::Canceller canceller;
  std::optional<AdmittedRequest> admitted;
  std::string request_id;
  std::uint64_t fingerprint = 0;
  std::optional<http::Response>
      upstream_error;  // shown when no other try helps
};

http::Task<void> RequestRelay::Run() {
  // Step 1: read what decisions need.
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
      kHeadBytes +
          static_cast<std::int64_t>(this->exchange->GetRequest().body.size()),
      this->arrived);

  // Step 2: route, key and budget.
  auto admission =
      this->context->core->Admit(std::move(*request), this->arrived);
  if (const auto* refusal = std::get_if<Refusal>(&admission)) {
    co_await this->Refuse(*refusal);
    co_return;
  }
  this->admitted = std::get<AdmittedRequest>(std::move(admission));
  this->exchange->OnGone([this] { this->canceller.Cancel(); });
  if (const std::optional<Refusal> refusal = co_await this->Pay()) {
    co_await this->Refuse(*refusal);
  } else {
    // Step 3: upstreams, one after the other.
    co_await this->SendUntilAnswered();
  }
  this->exchange->OnGone(nullptr);
  this->context->core->Finish(*this->admitted);
}

http::Task<std::optional<Refusal>> RequestRelay::Pay() {
  policy::GatewayCore& core = *this->context->core;
  TokenBroker& broker = *this->context->token_broker;
  const coordination::TimePoint deadline = this->admitted->deadline;
  coordination::TimePoint give_up =
      std::min(this->arrived + kBudgetWait, deadline);
  while (true) {
    BudgetVerdict verdict = core.ReserveBudget(*this->admitted, Now());
    if (verdict == BudgetVerdict::kReserved) {
      if (this->admitted->reserved > 0) {
        broker.Replenish(this->admitted->organisation->name);
      }
      co_return std::nullopt;
    }
    const bool waits = Now() < give_up && !this->canceller.Cancelled();
    if (waits) {
      verdict = co_await broker.Find(
          this->admitted->organisation->name,
          this->admitted->request.demand->MaxTokens(), give_up);
      if (verdict == BudgetVerdict::kPaced) {
        const coordination::TimePoint half =
            this->arrived + (deadline - this->arrived) / 2;
        give_up = std::min(this->arrived + kPaceWait, half);
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

http::Task<void> RequestRelay::SendUntilAnswered() {
  policy::GatewayCore& core = *this->context->core;
  std::optional<Refusal> last;
  while (true) {
    auto next = core.NextSend(*this->admitted, Now());
    if (const auto* refusal = std::get_if<Refusal>(&next)) {
      if (!last) last = *refusal;
      break;
    }
    auto& plan = std::get<SendPlan>(next);
    const SendOutcome outcome = co_await this->Send(plan);
    const bool again = core.OnSendEnded(*this->admitted, plan, outcome, Now());
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
    if (!again) break;
  }
  if (this->admitted->started) {
    // The caller sees a chunked body without its end.
    this->exchange->Abort();
    co_return;
  }
  if (this->upstream_error) {
    co_await this->exchange->Send(std::move(*this->upstream_error));
    co_return;
  }
  co_await this->Refuse(*last);
}

http::Task<SendOutcome> RequestRelay::Send(SendPlan& plan) {
  const AdmittedRequest& admitted = *this->admitted;
  if (plan.record.prefill_tokens >= kLongPrompt) {
    this->context->peers->SendToSome(
        {plan.upstream.id, plan.record.prefill_tokens}, Now());
  }
  platform::SendHeaders headers;
  headers.upstream = plan.upstream.id;
  if (admitted.organisation) headers.organisation = admitted.organisation->name;
  headers.left = plan.time_left;
  headers.urgency = plan.urgency;
  headers.resume_after = admitted.last_event_id;

  http::FetchOptions options;
  options.connect_timeout = kConnectTimeout;
  options.first_byte_timeout = plan.time_left;
  options.read_timeout = plan.time_left;
  options.deadline = admitted.deadline;
  options.may_resend = [this] {
    return this->context->core->TakeResend(*this->admitted, Now());
  };
  if (!admitted.route->MayRepeat())
    options.longest_idle = kLongestIdleForOrders;
  options.max_connections = plan.max_connections;
  options.canceller = &this->canceller;
  const http::Request sent =
      platform::BuildUpstreamRequest(this->exchange->GetRequest(), headers);
  this->context->core->Link().AddSent(
      kHeadBytes + static_cast<std::int64_t>(sent.body.size()), Now());
  const http::OpenResult opened = co_await this->context->client->Open(
      plan.upstream.address, sent, options);
  if (opened.status == http::FetchStatus::kRefused) {
    co_return SendOutcome::kNotListening;
  }
  if (opened.status == http::FetchStatus::kUnreachable) {
    co_return this->canceller.Cancelled() ? SendOutcome::kAbandoned
                                          : SendOutcome::kUnreachable;
  }
  if (opened.status == http::FetchStatus::kNoRoom) {
    co_return SendOutcome::kNoRoom;
  }
  if (opened.status == http::FetchStatus::kTimeout) {
    co_return SendOutcome::kSilent;
  }
  if (opened.status != http::FetchStatus::kOk) co_return SendOutcome::kBroken;

  http::ResponseStream& stream = *opened.stream;
  const platform::AnswerFacts facts = platform::DecodeAnswer(stream.Head());
  // An answer to another request may arrive late on a kept connection.
  const bool mine = facts.request_id == this->request_id ||
                    (facts.not_run && facts.request_id.empty());
  const bool success = stream.Head().status < 300;
  if (!mine || (success && !facts.stamped)) {
    opened.stream->Discard();
    co_return SendOutcome::kBroken;
  }
  if (facts.load) {
    this->context->core->Selector().OnLoadReport(plan.upstream.id, *facts.load,
                                                 Now());
  }
  if (facts.not_run) {
    const bool whole = (co_await this->ReadBody(stream)).has_value();
    if (!whole) opened.stream->Discard();
    co_return facts.misdirected ? SendOutcome::kMisdirected
                                : SendOutcome::kRejected;
  }
  if (admitted.route->kind == policy::RouteKind::kStream && success) {
    StreamRelay relay(*this->context->core, *this->admitted, plan,
                      *this->exchange, stream);
    co_return co_await relay.Run();
  }
  this->context->core->Selector().OnStarted(plan.record, Now());
  co_return co_await this->RelayWhole(stream);
}

// Empty when the body broke off, or there is no room to hold it.
http::Task<std::optional<std::string>> RequestRelay::ReadBody(
    http::ResponseStream& stream) {
  std::string body;
  std::array<char, kPieceBytes> piece{};
  while (true) {
    const http::ReadResult read = co_await stream.Read(piece);
    if (read.status != http::FetchStatus::kOk) co_return std::nullopt;
    if (read.count == 0) co_return body;
    if (!this->held.Take(read.count)) co_return std::nullopt;
    body.append(piece.data(), read.count);
  }
}

// Shows an answer only when all of it is there.
http::Task<SendOutcome> RequestRelay::RelayWhole(http::ResponseStream& stream) {
  std::optional<std::string> body = co_await this->ReadBody(stream);
  if (!body) {
    co_return Now() >= this->admitted->deadline ? SendOutcome::kSilent
                                                : SendOutcome::kBroken;
  }
  http::Response answer = platform::BuildCallerAnswer(stream.Head());
  answer.body = std::move(*body);
  this->context->core->Link().AddReceived(
      kHeadBytes + static_cast<std::int64_t>(answer.body.size()), Now());
  const bool failure = answer.status >= 500;
  const bool may_try_again = failure && this->admitted->route->MayRepeat();
  if (may_try_again && !this->admitted->started) {
    this->upstream_error = std::move(answer);
    co_return SendOutcome::kUpstreamError;
  }
  // A resumed stream can't show a failure any more.
  if (this->admitted->started) co_return SendOutcome::kBroken;
  this->context->core->Link().AddSent(
      kHeadBytes + static_cast<std::int64_t>(answer.body.size()), Now());
  const bool sent = co_await this->exchange->Send(std::move(answer));
  if (!sent) co_return SendOutcome::kAbandoned;
  co_return failure ? SendOutcome::kErrorRelayed : SendOutcome::kAnswered;
}

http::Task<void> RequestRelay::Refuse(const Refusal& refusal) {
  const policy::ErrorAnswer& answer = policy::AnswerFor(refusal.kind);
  std::string pairs = KeyValue("request", this->request_id);
  pairs += ' ' + KeyValue("fingerprint", policy::Hex(this->fingerprint));
  pairs += ' ' + KeyValue("reason", answer.name);
  pairs += ' ' + KeyValue("status", std::int64_t{answer.status});
  pairs += ' ' + KeyValue("after_ms", Milliseconds(Now() - this->arrived));
  if (this->admitted) {
    pairs += ' ' + KeyValue("route", this->admitted->route->name);
    pairs += ' ' + KeyValue("sends", this->admitted->sends);
    if (this->admitted->organisation) {
      pairs +=
          ' ' + KeyValue("organisation", this->admitted->organisation->name);
    }
  }
  this->context->log->Write(LogKind::kRefused, pairs, Now());
  this->context->metrics->Add(Counter::kRefusals);
  const bool budget = refusal.kind == ErrorKind::kBudgetUnavailable ||
                      refusal.kind == ErrorKind::kBudgetExhausted;
  if (budget) this->context->metrics->Add(Counter::kBudgetRefusals);
  if (refusal.kind == ErrorKind::kCrashSuspect) {
    this->context->metrics->Add(Counter::kSuspectRefusals);
  }
  policy::Refused refused;
  refused.kind = refusal.kind;
  refused.retry_after_s = 0;
  http::Response response = ErrorResponse(refused);
  if (refusal.retry_after > Duration(0)) {
    platform::SetRetryAfter(response, refusal.retry_after);
  }
  co_await this->exchange->Send(std::move(response));
}

void RequestRelay::ObserveTimes() {
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
    this->ObserveTimes();
  } else if (this->admitted->started) {
    kind = LogKind::kBroken;
    counter = Counter::kAnswersBroken;
  }
  this->context->metrics->Add(counter);
  if (this->admitted->sends > 1) this->context->metrics->Add(Counter::kRetries);
  std::string pairs = KeyValue("request", this->request_id);
  pairs += ' ' + KeyValue("fingerprint", policy::Hex(this->fingerprint));
  pairs += ' ' + KeyValue("route", this->admitted->route->name);
  pairs += ' ' + KeyValue("upstream", plan.upstream.id);
  pairs += ' ' + KeyValue("outcome", NameOf(outcome));
  pairs += ' ' + KeyValue("send", this->admitted->sends);
  pairs += ' ' + KeyValue("events", this->admitted->events_delivered);
  if (this->admitted->started) {
    pairs += ' ' + KeyValue("first_ms",
                            Milliseconds(this->admitted->time_to_first_event));
    pairs += ' ' + KeyValue("longest_pause_ms",
                            Milliseconds(this->admitted->longest_pause));
  }
  pairs += ' ' + KeyValue("after_ms", Milliseconds(Now() - this->arrived));
  this->context->log->Write(kind, pairs, Now());
}

}  // namespace

http::Task<void> ServeRequest(const Context& context,
                              http::Exchange& exchange) {
  RequestRelay relay(context, exchange);
  co_await relay.Run();
}

}  // namespace hornbeamspool::gateway
