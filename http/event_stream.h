// Parser for server-sent events (text/event-stream).
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::http {

// Views into the parser's buffer, valid until the next call of Feed().
struct ServerSentEvent {
  std::string_view raw;   // all bytes of the event, with its blank line
  std::string_view data;  // value of the first `data` field; may be empty
};

// Splits a response body that arrives in parts into events.
class EventStreamParser {
 public:
  // `max_event_bytes` limits the bytes buffered by Feed().
  explicit EventStreamParser(std::size_t max_event_bytes = kMaxEventBytes)
      : max_event_bytes(max_event_bytes) {}

  // Appends `bytes` and invalidates the views of earlier events. Returns false
  // when the bytes that Next() has not returned yet exceed the limit.
  bool Feed(std::string_view bytes);

  // Returns the next complete event, or nullopt when more bytes are needed.
  std::optional<ServerSentEvent> Next();

  // True when bytes of an incomplete event are buffered. Call it after Next()
  // has returned nullopt.
  bool HasPartialEvent() const { return this->consumed < this->buffer.size(); }

 private:
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  std::size_t max_event_bytes;
  std::string buffer;
  std::size_t consumed = 0;  // bytes of `buffer` that Next() has returned
};

}  // namespace hornbeamspool::http
