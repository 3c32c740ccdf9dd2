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

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using coordination::TimePoint;
using policy::CompletionOutcome;
using policy::ErrorKind;

constexpr std::size_t kReadBufferBytes = 8 * 1024;
constexpr std::string_view kEndOfStreamData = "[DONE]";

// How one try ended.
enum class AttemptOutcome : std::uint8_t {
  kAnswered,  // something was shown to the caller; the reservation is ended
  kFailed,    // nothing was shown; another upstream may be tried
};

struct AttemptResult {
  AttemptOutcome end = AttemptOutcome::kFailed;
  bool reached = false;
};

// One admitted request on its way through one upstream.
struct UpstreamAttempt {
  HandlerContext* context = nullptr;
  http::Exchange* exchange = nullptr;
  const ChatRequest* chat = nullptr;
  const policy::Admitted* admitted = nullptr;
  std::string request_id;
  TimePoint arrived;
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

// 5xx and 429 mean that the upstream did not do the work.
bool IsFailedTry(std::uint16_t status) {
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

// Relays the events of a stream. Holds one chunk of the stream at a time, so
// that a slow caller stops the reading and not the memory.
class StreamRelay {
 public:
  StreamRelay(const UpstreamAttempt& attempt, http::ResponseStream& stream,
              ReservationGuard& reservation)
      : attempt(&attempt), stream(&stream), reservation(&reservation) {}

  http::Task<AttemptResult> Run();

 private:
  // What one chunk of the stream came to.
  enum class ChunkResult : std::uint8_t {
    kContinue,
    kDone,
    kMismatched,
    kBroken
  };

  ChunkResult ProcessChunk(std::string_view chunk);
  ChunkResult ProcessEvent(const http::StreamEvent& event);
  http::Task<bool> FlushToCaller();
  http::Task<AttemptResult> Fail(ErrorKind kind);
  void RecordToken(TimePoint now);

  const UpstreamAttempt* attempt;
  http::ResponseStream* stream;
  ReservationGuard* reservation;
  http::EventReader events;
  std::string unsent;  // checked bytes that the caller has not been sent
  std::optional<Usage> usage;
  std::int64_t tokens = 0;
  TimePoint last_token{};
  bool response_started = false;
  bool done = false;
};

http::Task<AttemptResult> StreamRelay::Run() {
  std::vector<char> chunk(kReadBufferBytes);
  while (true) {
    const http::ReadResult read = co_await this->stream->Read(chunk);
    if (read.status != http::FetchStatus::kOk) {
      co_return co_await this->Fail(ErrorKind::kAnswerBroken);
    }
    if (read.count == 0) break;
    const ChunkResult step = this->ProcessChunk({chunk.data(), read.count});
    if (step == ChunkResult::kMismatched) {
      co_return co_await this->Fail(ErrorKind::kAnswerMismatched);
    }
    if (step == ChunkResult::kBroken) {
      co_return co_await this->Fail(ErrorKind::kAnswerBroken);
    }
    if (!co_await this->FlushToCaller()) {
      this->reservation->Complete(CompletionOutcome::kCallerGone);
      co_return AttemptResult{AttemptOutcome::kAnswered, true};
    }
  }
  if (!this->done) {
    co_return co_await this->Fail(ErrorKind::kAnswerBroken);
  }
  const bool delivered = co_await this->attempt->exchange->EndStream();
  this->reservation->Complete(delivered ? CompletionOutcome::kWhole
                                        : CompletionOutcome::kCallerGone);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

StreamRelay::ChunkResult StreamRelay::ProcessChunk(std::string_view chunk) {
  if (!this->events.Feed(chunk)) return ChunkResult::kBroken;
  while (const auto event = this->events.Next()) {
    const ChunkResult step = this->ProcessEvent(*event);
    if (step != ChunkResult::kContinue) return step;
  }
  policy::Completion& completion = this->reservation->MutableCompletion();
  completion.usage_known = this->usage.has_value();
  completion.prompt_tokens = this->usage ? this->usage->prompt_tokens : 0;
  completion.completion_tokens =
      this->usage ? this->usage->completion_tokens : this->tokens;
  return ChunkResult::kContinue;
}

StreamRelay::ChunkResult StreamRelay::ProcessEvent(
    const http::StreamEvent& event) {
  if (event.data.empty()) return ChunkResult::kContinue;
  if (event.data == kEndOfStreamData) {
    this->done = true;
    this->unsent.append(event.raw);
    return ChunkResult::kContinue;
  }
  const AnswerSummary summary =
      InspectAnswer(event.data, this->attempt->request_id);
  if (!summary.valid || summary.is_error) return ChunkResult::kBroken;
  if (!summary.id_matches) return ChunkResult::kMismatched;
  if (summary.usage) this->usage = summary.usage;
  if (summary.has_choices) this->RecordToken(Now());
  // The caller sees the usage event only when it asked for usage.
  const bool usage_event = !summary.has_choices && summary.usage.has_value();
  if (usage_event && !this->attempt->chat->include_usage)
    return ChunkResult::kContinue;
  this->unsent.append(event.raw);
  return ChunkResult::kContinue;
}

void StreamRelay::RecordToken(TimePoint now) {
  Metrics& metrics = *this->attempt->context->metrics;
  if (this->tokens == 0) {
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
    this->reservation->SetDefaultOutcome(CompletionOutcome::kBroken);
    http::Response head = AnswerHead(*this->attempt, this->stream->Head());
    head.headers.push_back({"Cache-Control", "no-cache"});
    if (!co_await exchange.BeginStream(std::move(head))) co_return false;
  }
  const bool sent = co_await exchange.Write(this->unsent);
  this->unsent.clear();
  co_return sent;
}

// Nothing shown yet: another upstream may be tried. Otherwise the caller is
// told that the answer is not whole.
http::Task<AttemptResult> StreamRelay::Fail(ErrorKind kind) {
  if (!this->response_started)
    co_return AttemptResult{AttemptOutcome::kFailed, true};
  http::Exchange& exchange = *this->attempt->exchange;
  const std::string body = ErrorBody(policy::Refused{kind, {}, {}});
  co_await exchange.Write("data: " + body + "\n\n");
  exchange.Abort();
  this->reservation->Complete(CompletionOutcome::kBroken);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

// Reads a whole answer; empty when it broke off.
http::Task<std::optional<std::string>> ReadAll(http::ResponseStream& stream) {
  std::string body;
  std::vector<char> chunk(kReadBufferBytes);
  while (true) {
    const http::ReadResult read = co_await stream.Read(chunk);
    if (read.status != http::FetchStatus::kOk) co_return std::nullopt;
    if (read.count == 0) co_return body;
    body.append(chunk.data(), read.count);
  }
}

// An answer that is not a stream: shown only when all of it is there.
http::Task<AttemptResult> RelayBuffered(const UpstreamAttempt& attempt,
                                        http::ResponseStream& stream,
                                        ReservationGuard& reservation) {
  std::optional<std::string> body = co_await ReadAll(stream);
  if (!body) co_return AttemptResult{AttemptOutcome::kFailed, true};
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
  reservation.Complete(sent ? CompletionOutcome::kWhole
                            : CompletionOutcome::kCallerGone);
  co_return AttemptResult{AttemptOutcome::kAnswered, true};
}

http::Task<AttemptResult> AttemptUpstream(const UpstreamAttempt& attempt,
                                          ReservationGuard& reservation) {
  http::FetchOptions options;
  options.first_byte_timeout = attempt.admitted->first_byte_timeout;
  options.read_timeout = attempt.admitted->deadline;
  // The decisions count each send.
  options.may_resend = nullptr;
  const http::OpenResult opened = co_await attempt.context->client->Open(
      attempt.admitted->address, UpstreamRequest(attempt), options);
  if (opened.status != http::FetchStatus::kOk) {
    const bool reached = http::MayHaveArrived(opened.status);
    co_return AttemptResult{AttemptOutcome::kFailed, reached};
  }
  http::ResponseStream& stream = *opened.stream;
  const std::uint16_t status = stream.Head().status;
  if (IsFailedTry(status))
    co_return AttemptResult{AttemptOutcome::kFailed, true};
  if (attempt.chat->stream && status == 200) {
    StreamRelay relay(attempt, stream, reservation);
    co_return co_await relay.Run();
  }
  co_return co_await RelayBuffered(attempt, stream, reservation);
}

}  // namespace

http::Task<void> RelayModel(HandlerContext& context, http::Exchange& exchange) {
  const TimePoint arrived = Now();
  // Step 1: read the request.
  auto parsed = ParseChatRequest(exchange.GetRequest().body);
  if (const auto* fault = std::get_if<ChatRequestError>(&parsed)) {
    co_await exchange.Send(
        ErrorResponse(ErrorKind::kMalformedRequest, fault->message));
    co_return;
  }
  const auto& chat = std::get<ChatRequest>(parsed);

  // Step 2: ask for admission.
  policy::AdmissionRequest admission =
      MakeAdmissionRequest(context, exchange.GetRequest());
  admission.kind = policy::WorkKind::kModel;
  admission.target = chat.model;
  admission.prompt_bytes = chat.prompt_bytes;
  admission.max_tokens = chat.max_tokens;
  const std::string request_id = admission.request_id;
  policy::AdmissionReply reply =
      co_await context.admission_client->RequestAdmission(std::move(admission));
  context.metrics->Observe(Timing::kAdmission, Now() - arrived);

  // Step 3: try upstreams until something is shown to the caller.
  while (const auto* admitted = std::get_if<policy::Admitted>(&reply.verdict)) {
    ReservationGuard reservation(*context.admission_client,
                                 admitted->reservation,
                                 CompletionOutcome::kNotRun);
    const UpstreamAttempt attempt{&context, &exchange,  &chat,
                                  admitted, request_id, arrived};
    const AttemptResult result = co_await AttemptUpstream(attempt, reservation);
    if (result.end == AttemptOutcome::kAnswered) {
      context.metrics->Observe(Timing::kWholeAnswer, Now() - arrived);
      co_return;
    }
    reservation.Release();
    context.metrics->Add(Counter::kRetries);
    reply = co_await context.admission_client->Retry(admitted->reservation,
                                                     result.reached);
  }

  // Step 4: a refusal, at once.
  if (const auto* refused = std::get_if<policy::Refused>(&reply.verdict)) {
    context.metrics->Add(Counter::kRefusals);
    co_await exchange.Send(ErrorResponse(*refused));
  }
}

}  // namespace hornbeamspool
