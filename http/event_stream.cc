#include "http/event_stream.h"

#include <algorithm>

namespace hornbeamspool::http {
namespace {

constexpr std::string_view kDataField = "data:";

// The value of the first `data` field of an event. Inference engines send one
// such field for each event.
std::string_view DataField(std::string_view raw) {
  while (!raw.empty()) {
    std::string_view line = raw.substr(0, raw.find('\n'));
    raw.remove_prefix(std::min(raw.size(), line.size() + 1));
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (!line.starts_with(kDataField)) continue;
    line.remove_prefix(kDataField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    return line;
  }
  return {};
}

}  // namespace

bool EventStreamParser::Feed(std::string_view bytes) {
  this->buffer.erase(0, this->consumed);
  this->consumed = 0;
  this->buffer.append(bytes);
  return this->buffer.size() <= this->max_event_bytes;
}

std::optional<ServerSentEvent> EventStreamParser::Next() {
  std::string_view unread = this->buffer;
  unread.remove_prefix(this->consumed);
  std::size_t end = unread.find("\n\n");
  std::size_t terminator_bytes = 2;
  const std::size_t crlf_end = unread.find("\r\n\r\n");
  if (crlf_end < end) {
    end = crlf_end;
    terminator_bytes = 4;
  }
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view raw = unread.substr(0, end + terminator_bytes);
  this->consumed += raw.size();
  return ServerSentEvent{raw, DataField(raw)};
}

}  // namespace hornbeamspool::http
