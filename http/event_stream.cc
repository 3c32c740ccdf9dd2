#include "http/event_stream.h"

#include <algorithm>

namespace hornbeamspool::http {
namespace {

constexpr std::string_view kDataField = "data:";

// The `data` line of an event; engines send one line for each event.
std::string_view DataOf(std::string_view raw) {
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
  this->buffer.erase(0, this->taken);
  this->taken = 0;
  this->buffer.append(bytes);
  return this->buffer.size() <= this->max_event_bytes;
}

std::optional<ServerSentEvent> EventStreamParser::Next() {
  const std::string_view whole = this->buffer;
  const std::string_view rest = whole.substr(this->taken);
  std::size_t end = rest.find("\n\n");
  std::size_t length = 2;
  const std::size_t carriage_end = rest.find("\r\n\r\n");
  if (carriage_end < end) {
    end = carriage_end;
    length = 4;
  }
  if (end == std::string_view::npos) return std::nullopt;
  const std::string_view raw = rest.substr(0, end + length);
  this->taken += raw.size();
  return ServerSentEvent{raw, DataOf(raw)};
}

}  // namespace hornbeamspool::http
