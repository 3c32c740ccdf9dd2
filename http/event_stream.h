// Splits server-sent events out of the pieces of a body.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::http {

// One event: its bytes as they came, and its `data` line.
struct ServerSentEvent {
  std::string_view raw;
  std::string_view data;
};

class EventStreamParser {
 public:
  // An event may not be longer.
  explicit EventStreamParser(std::size_t max_event_bytes = kMaxEventBytes)
      : max_event_bytes(max_event_bytes) {}

  // Adds bytes. Views of earlier events end here. Returns false when an event
  // grows over the limit.
  bool Feed(std::string_view bytes);

  // The next whole event.
  std::optional<ServerSentEvent> Next();

  // True when part of an event is waiting for its rest.
  bool HasPartialEvent() const { return this->taken < this->buffer.size(); }

 private:
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  std::size_t max_event_bytes;
  std::string buffer;
  std::size_t taken = 0;
};

}  // namespace hornbeamspool::http
