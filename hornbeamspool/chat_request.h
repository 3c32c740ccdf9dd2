// Parsing and rewriting of the body of a chat-completions request.
#pragma once

#include <boost/json/object.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hornbeamspool {

struct ChatRequest {
  boost::json::object body;
  std::string model;
  bool stream = false;
  bool include_usage = false;  // the caller requests usage in the stream
  std::optional<std::int64_t> max_tokens;
  std::int64_t prompt_bytes = 0;  // serialized size of all prompt members
  // Hashes of all messages but the last, which belongs to the request itself.
  std::vector<std::uint64_t> shared_parts;
};

// Why a body is refused; the message is sent to the caller.
struct ChatRequestError {
  std::string message;
};

// Parses and validates a request body.
std::variant<ChatRequest, ChatRequestError> ParseChatRequest(
    std::string_view text);

// The body to send upstream: the caller's body with the admitted token limit
// and the priority set. Streams always request usage, which billing needs.
std::string BuildUpstreamBody(const ChatRequest& request,
                              std::int64_t max_tokens, std::int64_t priority);

}  // namespace hornbeamspool
