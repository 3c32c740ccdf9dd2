#include "hornbeamspool/plain_relay.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <utility>
#include <variant>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/error_response.h"
#include "http/task.h"
#include "platform/request_headers.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using policy::CompletionOutcome;

// Headers that are not forwarded: hop-by-hop headers, Host, and the caller's
// credentials to the router.
constexpr std::array<std::string_view, 10> kStrippedHeaders{
    "Host",    "Connection", "Keep-Alive",     "Transfer-Encoding", "TE",
    "Trailer", "Upgrade",    "Content-Length", "Authorization",     "Expect"};

// Larger response bodies are not recorded; a replay gets a placeholder.
constexpr std::size_t kMaxRecordedBytes = 128 * 1024;

bool IsStrippedHeader(std::string_view name) {
  return std::any_of(kStrippedHeaders.begin(), kStrippedHeaders.end(),
                     [&](std::string_view dropped) {
                       return boost::beast::iequals(dropped, name);
                     });
}

http::Request UpstreamRequest(const http::Request& from,
                              std::string_view request_id) {
  http::Request request;
  request.method = from.method;
  request.target = from.target;
  request.borrowed_body = from.Body();
  for (const http::Header& header : from.headers) {
    if (!IsStrippedHeader(header.name)) request.headers.push_back(header);
  }
  request.headers.push_back({"X-Request-Id", std::string(request_id)});
  return request;
}

http::Response CallerResponse(const http::Response& from,
                              std::string_view request_id) {
  http::Response response;
  response.status = from.status;
  response.body = from.body;
  for (const http::Header& header : from.headers) {
    if (!IsStrippedHeader(header.name)) response.headers.push_back(header);
  }
  response.headers.push_back({"X-Request-Id", std::string(request_id)});
  return response;
}

policy::RecordedAnswer MakeRecordedAnswer(const http::Response& response) {
  policy::RecordedAnswer answer;
  answer.status = response.status;
  answer.content_type = std::string(response.HeaderValue("Content-Type"));
  answer.body = response.body;
  if (answer.body.size() > kMaxRecordedBytes) {
    answer.content_type = "application/json";
    answer.body = R"({"recorded":false,"reason":"the answer was too large"})";
  }
  return answer;
}

http::Response ReplayedResponse(const policy::RecordedAnswer& answer) {
  http::Response response;
  response.status = answer.status;
  response.headers = {{"Content-Type", answer.content_type},
                      {"Idempotent-Replayed", "true"}};
  response.body = answer.body;
  return response;
}

// True when the attempt failed and the router is asked for another one. 502,
// 503 and 504 count as failures only for repeatable calls.
bool IsFailedAttempt(const http::FetchResult& result, bool repeatable) {
  if (result.status != http::FetchStatus::kOk) return true;
  const std::uint16_t status = result.response.status;
  return repeatable && status >= 502 && status <= 504;
}

http::Task<http::FetchResult> AttemptUpstream(
    HandlerContext& context, http::Exchange& exchange,
    const http::Request& request, const policy::Admitted& admitted) {
  http::FetchOptions options;
  options.first_byte_timeout = admitted.deadline;
  options.read_timeout = admitted.deadline;
  // If the server has closed a pooled connection, it would be unknown
  // whether the order was received.
  options.fresh_connection = !admitted.repeatable;
  options.reserve_body = [&exchange](std::size_t bytes) {
    return exchange.TryReserve(bytes);
  };
  // The HTTP client must not resend: the router counts every attempt.
  options.may_resend = nullptr;
  const coordination::TimePoint sent_at = Now();
  http::FetchResult result =
      co_await context.client->Fetch(admitted.address, request, options);
  if (result.status == http::FetchStatus::kOk) {
    context.admission_client->ReportAnswer(admitted, result.response, sent_at);
  }
  co_return result;
}

}  // namespace

http::Task<void> RelayPlain(HandlerContext& context, http::Exchange& exchange) {
  const coordination::TimePoint arrived = Now();
  // Step 1: request admission. An order is admitted only after its intent is
  // committed.
  policy::AdmissionRequest admission =
      MakeAdmissionRequest(context, exchange.GetRequest());
  admission.kind = policy::RequestKind::kPlain;
  admission.target = std::string(exchange.GetRequest().Path());
  const std::string request_id = admission.request_id;
  policy::AdmissionReply reply =
      co_await context.admission_client->RequestAdmission(std::move(admission));
  context.metrics->Observe(Timing::kAdmission, Now() - arrived);

  // Step 2: send the request to one upstream after another. The router admits
  // another attempt only when that is safe.
  const http::Request request =
      UpstreamRequest(exchange.GetRequest(), request_id);
  while (const auto* admitted = std::get_if<policy::Admitted>(&reply.verdict)) {
    ReservationGuard reservation(*context.admission_client,
                                 admitted->reservation,
                                 CompletionOutcome::kMayHaveRun);
    const http::FetchResult result =
        co_await AttemptUpstream(context, exchange, request, *admitted);
    if (IsFailedAttempt(result, admitted->repeatable)) {
      reservation.Release();
      context.metrics->Add(Counter::kRetries);
      policy::RetryRequest retry;
      retry.reservation = admitted->reservation;
      retry.reached = http::MayHaveArrived(result.status);
      reply = co_await context.admission_client->Retry(retry);
      continue;
    }
    reservation.MutableCompletion().answer =
        MakeRecordedAnswer(result.response);
    const bool sent =
        co_await exchange.Send(CallerResponse(result.response, request_id));
    reservation.Complete(sent ? CompletionOutcome::kDelivered
                              : CompletionOutcome::kCallerDisconnected);
    context.metrics->Observe(Timing::kWholeAnswer, Now() - arrived);
    co_return;
  }

  // Step 3: replay a recorded answer, or send the error response if the router
  // refused the request.
  if (const auto* replayed = std::get_if<policy::Replayed>(&reply.verdict)) {
    co_await exchange.Send(ReplayedResponse(replayed->answer));
    co_return;
  }
  context.metrics->Add(Counter::kRefusals);
  co_await exchange.Send(
      ErrorResponse(std::get<policy::Refused>(reply.verdict)));
}

}  // namespace hornbeamspool
