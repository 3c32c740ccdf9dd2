#include "hornbeamspool/chat_request.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "coordination/rendezvous.h"
#include "policy/poison_parts.h"

namespace hornbeamspool {
namespace {

namespace json = boost::json;

// Members of the body that the engine converts to prompt tokens.
constexpr std::array<std::string_view, 4> kPromptMembers{
    "messages", "tools", "functions", "response_format"};
constexpr int kMaxJsonDepth = 32;

// Only text is accepted: the token count of other content has no known bound.
bool IsTextContent(const json::value& content) {
  if (content.is_string() || content.is_null()) return true;
  const json::array* parts = content.if_array();
  if (parts == nullptr) return false;
  for (const json::value& part : *parts) {
    const json::object* object = part.if_object();
    if (object == nullptr) return false;
    const json::value* type = object->if_contains("type");
    if (type == nullptr || *type != "text") return false;
  }
  return true;
}

// The checks below return an error message, empty if there is none.
std::string CheckMessages(const json::object& body) {
  const json::value* messages = body.if_contains("messages");
  if (messages == nullptr || !messages->is_array() ||
      messages->get_array().empty()) {
    return "messages must be a list that is not empty";
  }
  for (const json::value& message : messages->get_array()) {
    const json::object* object = message.if_object();
    if (object == nullptr) return "each message must be an object";
    const json::value* role = object->if_contains("role");
    if (role == nullptr || !role->is_string()) {
      return "each message needs a role";
    }
    const json::value* content = object->if_contains("content");
    if (content != nullptr && !IsTextContent(*content)) {
      return "message content must be text";
    }
  }
  return {};
}

std::string ParseTokenLimits(const json::object& body, ChatRequest& request) {
  for (const char* key : {"max_tokens", "max_completion_tokens"}) {
    const json::value* limit = body.if_contains(key);
    if (limit == nullptr || limit->is_null()) continue;
    if (!limit->is_int64() || limit->get_int64() < 1) {
      return std::string(key) + " must be a whole number of at least 1";
    }
    request.max_tokens = limit->get_int64();
  }
  const json::value* count = body.if_contains("n");
  if (count != nullptr && !count->is_null() && *count != 1) {
    return "n must be 1";
  }
  return {};
}

std::string ParseStreamOptions(const json::object& body, ChatRequest& request) {
  const json::value* stream = body.if_contains("stream");
  if (stream != nullptr && !stream->is_null()) {
    if (!stream->is_bool()) return "stream must be true or false";
    request.stream = stream->get_bool();
  }
  const json::value* options = body.if_contains("stream_options");
  if (options == nullptr || !options->is_object()) return {};
  const json::value* usage = options->get_object().if_contains("include_usage");
  request.include_usage =
      usage != nullptr && usage->is_bool() && usage->get_bool();
  return {};
}

// Hashes of the messages that other requests may share.
std::vector<std::uint64_t> SharedParts(const json::array& messages) {
  std::vector<std::uint64_t> parts;
  for (std::size_t i = 0; i + 1 < messages.size(); ++i) {
    if (parts.size() >= policy::PoisonParts::kMaxPartsPerRequest) break;
    policy::PoisonParts::AddPart(
        parts, coordination::StableHash(json::serialize(messages[i])));
  }
  return parts;
}

}  // namespace

std::variant<ChatRequest, ChatRequestError> ParseChatRequest(
    std::string_view text) {
  json::parse_options options;
  options.max_depth = kMaxJsonDepth;
  json::error_code error;
  json::value document = json::parse(text, error, {}, options);
  if (error) {
    return ChatRequestError{"the body is not JSON: " + error.message()};
  }
  if (!document.is_object()) {
    return ChatRequestError{"the body must be an object"};
  }
  ChatRequest request;
  request.body = std::move(document.get_object());
  const json::value* model = request.body.if_contains("model");
  if (model == nullptr || !model->is_string()) {
    return ChatRequestError{"model must be a text"};
  }
  request.model = std::string(model->get_string());
  std::string message = CheckMessages(request.body);
  if (message.empty()) message = ParseTokenLimits(request.body, request);
  if (message.empty()) message = ParseStreamOptions(request.body, request);
  if (!message.empty()) return ChatRequestError{std::move(message)};
  request.shared_parts = SharedParts(request.body.at("messages").get_array());
  for (const std::string_view key : kPromptMembers) {
    const json::value* member = request.body.if_contains(key);
    if (member == nullptr) continue;
    request.prompt_bytes +=
        static_cast<std::int64_t>(json::serialize(*member).size());
  }
  return request;
}

std::string BuildUpstreamBody(const ChatRequest& request,
                              std::int64_t max_tokens, std::int64_t priority) {
  json::object body = request.body;
  body.erase("max_completion_tokens");
  body["max_tokens"] = max_tokens;
  body["priority"] = priority;
  if (request.stream) body["stream_options"] = {{"include_usage", true}};
  return json::serialize(body);
}

}  // namespace hornbeamspool
