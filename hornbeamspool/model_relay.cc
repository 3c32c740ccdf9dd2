#include "hornbeamspool/model_relay.h"

#include <boost/asio/redirect_error.hpp>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "hornbeamspool/answer_checker.h"
#include "hornbeamspool/chat_request.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "http/event_stream.h"
#include "http/task.h"
#include "platform/request_headers.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using coordination::TimePoint;
using policy::CompletionOutcome;
using policy::ErrorKind;

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr std::string_view kEndOfStreamData = "[DONE]";

// How one attempt ended.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,  // bytes went to the caller; the reservation is completed
  kFailed,    // nothing went to the caller; the request may be retried
};

struct AttemptResult {
  AttemptOutcome outcome = AttemptOutcome::kFailed;
  bool reached = false;  // the upstream may have received the request
  bool broken = false;   // it sent no complete answer
  bool refused = false;  // it refused the connection
};

// How long a broken answer's upstream is probed. One that has crashed refuses
// the connection within a round trip.
constexpr coordination::Duration kProbeTimeout = std::chrono::milliseconds(200);

// An admitted request that is sent to one upstream.
struct UpstreamAttempt {
  HandlerContext* context = nullptr;
  http::Exchange* exchange = nullptr;
  const ChatRequest* chat = nullptr;
  const policy::Admitted* admitted = nullptr;
  std::string request_id;
  TimePoint arrived;  // when the caller's request was received
};

http::Request UpstreamRequest(const UpstreamAttempt& attempt) {
  http::Request request;
  request.method = "POST";
  request.target = "/v1/chat/completions";
  request.headers = {{"Content-Type", "application/json"},
                     {"X-Request-Id", attempt.request_id}};
  request.body = BuildUpstreamBody(*attempt.chat, attempt.admitted->max_tokens,
                                   attempt.admitted->priority);
  return request;
}

// 5xx and 429 mean that the upstream did not process the request.
bool IsFailedAttempt(std::uint16_t status) {
  return status >= 500 || status == 429;
}

http::Response AnswerHead(const UpstreamAttempt& attempt,
                          const http::Response& from) {
  http::Response head;
  head.status = from.status;
  head.headers = {
      {"Content-Type", std::string(from.HeaderValue("Content-Type"))},
      {"X-Request-Id", attempt.request_id}};
  return head;
}

// Relays a stream of server-sent events. Reads the next chunk only after the
// last one was written to the caller: a slow caller applies backpressure to the
// upstream, and memory stays bounded.
class StreamRelay {
 public:
  StreamRelay(const UpstreamAttempt& attempt, http::ResponseStream& stream,
              ReservationGuard& reservation)
      : attempt(&attempt), stream(&stream), reservation(&reservation) {}

  http::Task<AttemptResult> Run();

 private:
  // Result of parsing one chunk of the stream.
  enum class ChunkResult : std::uint8_t {
    kContinue,
    kDone,
    kMismatched,
    kInvalid
  };

  ChunkResult ProcessChunk(std::string_view chunk);
  ChunkResult ProcessEvent(const http::ServerSentEvent& event);
  http::Task<bool> FlushToCaller();
  http::Task<AttemptResult> Fail(ErrorKind kind);
  void RecordToken(TimePoint now);

  const UpstreamAttempt* attempt;
  http::ResponseStream* stream;
  ReservationGuard* reservation;
  http::EventStreamParser events;
  std::string unsent;  // checked bytes not yet written to the caller
  std::optional<Usage> usage;
  std::int64_t tokens = 0;
  TimePoint last_token{};
  bool response_started = false;
  bool end_received = false;
};

http::Task<AttemptResult> StreamRelay::Run() {
  std::vector<char> chunk(kReadBufferBytes);
  while (true) {
    const http::ReadResult read = co_await this->stream->Read(chunk);
    if (read.status != http::FetchStatus::kOk) {
      co_return co_await this->Fail(ErrorKind::kAnswerBroken);
    }
    if (read.count == 0) break;
    const ChunkResult result = this->ProcessChunk({chunk.data(), read.count});
    if (result == ChunkResult::kMismatched) {
      co_return co_await this->Fail(ErrorKind::kAnswerMismatched);
    }
    if (result == ChunkResult::kInvalid) {
      co_return co_await this->Fail(ErrorKind::kAnswerBroken);
    }
    if (!co_await this->FlushToCaller()) {
      this->reservation->Complete(CompletionOutcome::kCallerDisconnected);
      co_return AttemptResult{AttemptOutcome::kAnswered, true};
    }
  }
  if (!this->end_received) {
    co_return co_await this->Fail(ErrorKind::kAnswerBroken);
  }
  const bool delivered = co_await this->attempt->exchange->EndStream();
  this->reservation->Complete(delivered
                                  ? CompletionOutcome::kDelivered
                                  : CompletionOutcome::kCallerDisconnected);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

StreamRelay::ChunkResult StreamRelay::ProcessChunk(std::string_view chunk) {
  if (!this->events.Feed(chunk)) return ChunkResult::kInvalid;
  while (const auto event = this->events.Next()) {
    const ChunkResult result = this->ProcessEvent(*event);
    if (result != ChunkResult::kContinue) return result;
  }
  policy::Completion& completion = this->reservation->MutableCompletion();
  completion.usage_known = this->usage.has_value();
  completion.prompt_tokens = this->usage ? this->usage->prompt_tokens : 0;
  completion.completion_tokens =
      this->usage ? this->usage->completion_tokens : this->tokens;
  return ChunkResult::kContinue;
}

StreamRelay::ChunkResult StreamRelay::ProcessEvent(
    const http::ServerSentEvent& event) {
  if (event.data.empty()) return ChunkResult::kContinue;
  if (event.data == kEndOfStreamData) {
    this->end_received = true;
    this->unsent.append(event.raw);
    return ChunkResult::kContinue;
  }
  const AnswerSummary summary =
      InspectAnswer(event.data, this->attempt->request_id);
  if (!summary.valid || summary.is_error) return ChunkResult::kInvalid;
  if (!summary.id_matches) return ChunkResult::kMismatched;
  if (summary.usage) this->usage = summary.usage;
  if (summary.has_choices) this->RecordToken(Now());
  // Usage is always requested for billing. The event with the usage is relayed
  // only if the caller requested it too.
  const bool usage_event = !summary.has_choices && summary.usage.has_value();
  if (usage_event && !this->attempt->chat->include_usage) {
    return ChunkResult::kContinue;
  }
  this->unsent.append(event.raw);
  return ChunkResult::kContinue;
}

void StreamRelay::RecordToken(TimePoint now) {
  Metrics& metrics = *this->attempt->context->metrics;
  if (this->tokens == 0) {
    this->attempt->context->admission_client->ReportAnswerBegun(
        this->attempt->admitted->reservation);
    metrics.Observe(Timing::kFirstToken, now - this->attempt->arrived);
  } else {
    metrics.Observe(Timing::kTokenGap, now - this->last_token);
  }
  metrics.Add(Counter::kTokensForwarded);
  ++this->tokens;
  this->last_token = now;
}

http::Task<bool> StreamRelay::FlushToCaller() {
  if (this->unsent.empty()) co_return true;
  http::Exchange& exchange = *this->attempt->exchange;
  if (!this->response_started) {
    this->response_started = true;
    this->reservation->SetDefaultOutcome(CompletionOutcome::kInterrupted);
    http::Response head = AnswerHead(*this->attempt, this->stream->Head());
    head.headers.push_back({"Cache-Control", "no-cache"});
    if (!co_await exchange.BeginStream(std::move(head))) co_return false;
  }
  const bool sent = co_await exchange.Write(this->unsent);
  this->unsent.clear();
  co_return sent;
}

// Ends a failed attempt. If nothing was written to the caller, the request may
// be retried on another upstream. Otherwise the stream ends with an error
// event, which marks the answer as incomplete.
http::Task<AttemptResult> StreamRelay::Fail(ErrorKind kind) {
  if (!this->response_started) {
    const bool broken = kind == ErrorKind::kAnswerBroken;
    co_return AttemptResult{AttemptOutcome::kFailed, true, broken, false};
  }
  http::Exchange& exchange = *this->attempt->exchange;
  const std::string body = ErrorBody(policy::Refused{kind, {}, {}});
  co_await exchange.Write("data: " + body + "\n\n");
  exchange.Abort();
  this->reservation->Complete(CompletionOutcome::kInterrupted);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

// Reads a response body to its end. Empty if the connection fails first, or if
// there is no memory for it.
http::Task<std::optional<std::string>> ReadAll(http::ResponseStream& stream,
                                               http::Exchange& exchange) {
  std::string body;
  std::vector<char> chunk(kReadBufferBytes);
  while (true) {
    const http::ReadResult read = co_await stream.Read(chunk);
    if (read.status != http::FetchStatus::kOk) co_return std::nullopt;
    if (read.count == 0) co_return body;
    // A string that grows doubles its capacity.
    if (!exchange.TryReserve(2 * read.count)) co_return std::nullopt;
    body.append(chunk.data(), read.count);
  }
}

// Relays a response that is not a stream, once all of it is received and
// checked.
http::Task<AttemptResult> RelayBuffered(const UpstreamAttempt& attempt,
                                        http::ResponseStream& stream,
                                        ReservationGuard& reservation) {
  std::optional<std::string> body = co_await ReadAll(stream, *attempt.exchange);
  if (!body) {
    co_return AttemptResult{AttemptOutcome::kFailed, true, true, false};
  }
  const bool success = stream.Head().status < 300;
  const AnswerSummary summary = InspectAnswer(*body, attempt.request_id);
  if (success && !(summary.id_matches && summary.usage)) {
    co_return AttemptResult{AttemptOutcome::kFailed, true};
  }
  policy::Completion& completion = reservation.MutableCompletion();
  completion.usage_known = true;
  if (success) {
    completion.prompt_tokens = summary.usage->prompt_tokens;
    completion.completion_tokens = summary.usage->completion_tokens;
    Metrics& metrics = *attempt.context->metrics;
    metrics.Observe(Timing::kFirstToken, Now() - attempt.arrived);
    metrics.Add(Counter::kTokensForwarded, summary.usage->completion_tokens);
  }
  http::Response answer = AnswerHead(attempt, stream.Head());
  answer.body = std::move(*body);
  const bool sent = co_await attempt.exchange->Send(std::move(answer));
  reservation.Complete(sent ? CompletionOutcome::kDelivered
                            : CompletionOutcome::kCallerDisconnected);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

http::Task<AttemptResult> AttemptUpstream(const UpstreamAttempt& attempt,
                                          ReservationGuard& reservation) {
  http::FetchOptions options;
  options.first_byte_timeout = attempt.admitted->first_byte_timeout;
  options.read_timeout = attempt.admitted->deadline;
  // The HTTP client must not resend: the router counts every attempt.
  options.may_resend = nullptr;
  const TimePoint sent_at = Now();
  const http::OpenResult opened = co_await attempt.context->client->Open(
      attempt.admitted->address, UpstreamRequest(attempt), options);
  if (opened.status != http::FetchStatus::kOk) {
    const bool reached = http::MayHaveArrived(opened.status);
    const bool refused = opened.status == http::FetchStatus::kRefused;
    co_return AttemptResult{AttemptOutcome::kFailed, reached, reached, refused};
  }
  http::ResponseStream& stream = *opened.stream;
  attempt.context->admission_client->ReportAnswer(*attempt.admitted,
                                                  stream.Head(), sent_at);
  const std::uint16_t status = stream.Head().status;
  if (IsFailedAttempt(status)) {
    co_return AttemptResult{AttemptOutcome::kFailed, true};
  }
  if (attempt.chat->stream && status == 200) {
    StreamRelay relay(attempt, stream, reservation);
    co_return co_await relay.Run();
  }
  co_return co_await RelayBuffered(attempt, stream, reservation);
}

}  // namespace

http::Task<void> RelayModel(HandlerContext& context, http::Exchange& exchange) {
  const TimePoint arrived = Now();
  // Step 1: parse the request.
  auto parsed = ParseChatRequest(exchange.GetRequest().body);
  if (const auto* error = std::get_if<ChatRequestError>(&parsed)) {
    co_await exchange.Send(
        ErrorResponse(ErrorKind::kMalformedRequest, error->message));
    co_return;
  }
  const auto& chat = std::get<ChatRequest>(parsed);

  // Step 2: request admission.
  policy::AdmissionRequest admission =
      MakeAdmissionRequest(context, exchange.GetRequest());
  admission.kind = policy::RequestKind::kModel;
  admission.target = chat.model;
  admission.prompt_bytes = chat.prompt_bytes;
  admission.shared_parts = chat.shared_parts;
  admission.max_tokens = chat.max_tokens;
  const std::string request_id = admission.request_id;
  policy::AdmissionReply reply =
      co_await context.admission_client->RequestAdmission(std::move(admission));
  context.metrics->Observe(Timing::kAdmission, Now() - arrived);

  // Step 3: send the request to one upstream after another until an answer has
  // been relayed.
  while (const auto* admitted = std::get_if<policy::Admitted>(&reply.verdict)) {
    ReservationGuard reservation(*context.admission_client,
                                 admitted->reservation,
                                 CompletionOutcome::kNotRun);
    const UpstreamAttempt attempt{&context, &exchange,  &chat,
                                  admitted, request_id, arrived};
    AttemptResult result = co_await AttemptUpstream(attempt, reservation);
    if (result.outcome == AttemptOutcome::kAnswered) {
      context.metrics->Observe(Timing::kWholeAnswer, Now() - arrived);
      co_return;
    }
    reservation.Release();
    context.metrics->Add(Counter::kRetries);
    if (result.broken) {
      const http::FetchStatus probed =
          co_await context.client->Probe(admitted->address, kProbeTimeout);
      result.refused = probed == http::FetchStatus::kRefused;
    }
    policy::RetryRequest retry;
    retry.reservation = admitted->reservation;
    retry.reached = result.reached;
    retry.broken = result.broken;
    retry.crashed = result.refused;
    reply = co_await context.admission_client->Retry(retry);
  }

  // Step 4: send the error response if the router refused the request.
  if (const auto* refused = std::get_if<policy::Refused>(&reply.verdict)) {
    context.metrics->Add(Counter::kRefusals);
    co_await exchange.Send(ErrorResponse(*refused));
  }
}

}  // namespace hornbeamspool
