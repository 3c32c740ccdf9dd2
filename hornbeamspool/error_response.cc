#include "hornbeamspool/error_response.h"

#include <array>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <string>

namespace hornbeamspool {
namespace {

using policy::ErrorKind;

// Indexed by http::RejectReason.
constexpr std::array<ErrorKind,
                     static_cast<std::size_t>(http::RejectReason::kCount)>
    kRejectKinds{ErrorKind::kMalformedRequest, ErrorKind::kHeadersTooLarge,
                 ErrorKind::kBodyTooLarge,     ErrorKind::kRequestTimeout,
                 ErrorKind::kOverloaded,       ErrorKind::kInternal,
                 ErrorKind::kOverloaded,       ErrorKind::kOverloaded,
                 ErrorKind::kOverloaded,       ErrorKind::kOverloaded};

std::int64_t RetryAfter(const policy::Refused& refused) {
  return refused.retry_after_s.value_or(
      policy::AnswerFor(refused.kind).retry_after_s);
}

}  // namespace

std::string ErrorBody(const policy::Refused& refused) {
  const policy::ErrorAnswer& answer = policy::AnswerFor(refused.kind);
  boost::json::object error;
  error["code"] = answer.name;
  error["type"] =
      answer.status < 500 ? "invalid_request_error" : "server_error";
  error["message"] =
      refused.detail.empty() ? std::string(answer.message) : refused.detail;
  error["param"] = nullptr;
  error["run"] = policy::RunStateName(answer.run);
  if (refused.earlier_attempts_unknown) error["earlier_tries"] = "unknown";
  const std::int64_t retry_after_s = RetryAfter(refused);
  if (retry_after_s > 0) error["retry_after_s"] = retry_after_s;
  return boost::json::serialize(
      boost::json::object{{"error", std::move(error)}});
}

http::Response ErrorResponse(const policy::Refused& refused) {
  const policy::ErrorAnswer& answer = policy::AnswerFor(refused.kind);
  http::Response response =
      http::JsonResponse(answer.status, ErrorBody(refused));
  const std::int64_t retry_after_s = RetryAfter(refused);
  if (retry_after_s > 0) {
    response.headers.push_back({"Retry-After", std::to_string(retry_after_s)});
  }
  return response;
}

http::Response ErrorResponse(ErrorKind kind, std::string detail) {
  return ErrorResponse(policy::Refused{kind, std::move(detail), {}});
}

http::Response RejectResponse(http::RejectReason reject) {
  return ErrorResponse(kRejectKinds.at(static_cast<std::size_t>(reject)));
}

}  // namespace hornbeamspool
