// The body of a chat-completions request.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace hornbeamspool {

struct ChatRequest {
  boost::json::object body;
  std::string model;
  bool stream = false;
  bool include_usage = false;  // the caller wants usage in the stream
  std::optional<std::int64_t> max_tokens;
  std::int64_t prompt_bytes = 0;  // bytes of everything that becomes prompt
};

// What is wrong with a body.
struct ChatRequestError {
  std::string message;
};

std::variant<ChatRequest, ChatRequestError> ParseChatRequest(
    std::string_view text);

// The body sent upstream: the caller's, with the admitted limit, the priority
// and usage asked for.
std::string BuildUpstreamBody(const ChatRequest& request,
                              std::int64_t max_tokens, std::int64_t priority);

}  // namespace hornbeamspool
