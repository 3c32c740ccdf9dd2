// Tests of the parsing of chat requests and responses and of error responses.
#include <doctest/doctest.h>

#include <string>
#include <variant>

#include "hornbeamspool/answer_checker.h"
#include "hornbeamspool/chat_request.h"
#include "hornbeamspool/error_response.h"

namespace hornbeamspool {
namespace {

std::string ErrorOf(std::string_view body) {
  const auto parsed = ParseChatRequest(body);
  const auto* error = std::get_if<ChatRequestError>(&parsed);
  return error == nullptr ? std::string() : error->message;
}

TEST_CASE("each invalid chat request gets the message for its error") {
  CHECK_EQ(ErrorOf(R"({"model":"m","messages":[{"role":"user"}]})"), "");
  CHECK_NE(ErrorOf("{"), "");
  CHECK_EQ(ErrorOf("[]"), "the body must be an object");
  CHECK_EQ(ErrorOf(R"({"messages":[{"role":"user"}]})"),
           "model must be a text");
  CHECK_EQ(ErrorOf(R"({"model":"m","messages":[]})"),
           "messages must be a list that is not empty");
  CHECK_EQ(ErrorOf(R"({"model":"m","messages":[{"role":"user"}],"n":2})"),
           "n must be 1");
  CHECK_EQ(ErrorOf(R"({"model":"m","max_tokens":0,"messages":[{"role":"u"}]})"),
           "max_tokens must be a whole number of at least 1");
  CHECK_EQ(ErrorOf(R"({"model":"m","messages":[{"role":"user",
             "content":[{"type":"image_url"}]}]})"),
           "message content must be text");
}

TEST_CASE("the upstream request always includes include_usage") {
  const auto parsed = ParseChatRequest(
      R"({"model":"m","stream":true,"messages":[{"role":"user"}]})");
  const auto& request = std::get<ChatRequest>(parsed);
  CHECK_FALSE(request.include_usage);
  const std::string body = BuildUpstreamBody(request, 7, 3);
  CHECK_NE(body.find("\"include_usage\":true"), std::string::npos);
  CHECK_NE(body.find("\"max_tokens\":7"), std::string::npos);
}

TEST_CASE("a response with the id of another request does not match") {
  const std::string response =
      R"({"id":"chatcmpl-r-1","choices":[{}],"usage":
         {"prompt_tokens":3,"completion_tokens":4}})";
  const AnswerSummary summary = InspectAnswer(response, "r-1");
  CHECK(summary.id_matches);
  CHECK(summary.has_choices);
  REQUIRE(summary.usage);
  CHECK_EQ(summary.usage->completion_tokens, 4);
  CHECK_FALSE(InspectAnswer(response, "r-2").id_matches);
  CHECK_FALSE(InspectAnswer("{", "r-1").valid);
}

TEST_CASE(
    "an error response states whether the request ran and when to retry") {
  const http::Response response = ErrorResponse(policy::ErrorKind::kNoUpstream);
  CHECK_EQ(response.status, 503);
  CHECK_EQ(response.HeaderValue("Retry-After"), "2");
  CHECK_NE(response.body.find("\"run\":\"not_run\""), std::string::npos);
}

}  // namespace
}  // namespace hornbeamspool
