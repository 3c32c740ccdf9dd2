// Splits server-sent events out of the pieces of a body.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool::http {

// One event: its bytes as they came, and its `data` line.
struct StreamEvent {
  std::string_view raw;
  std::string_view data;
};

class EventReader {
 public:
  // An event may not be longer.
  explicit EventReader(std::size_t most_bytes = kMaxEventBytes)
      : most_bytes(most_bytes) {}

  // Adds bytes. Views of earlier events end here. Returns false when an event
  // grows over the limit.
  bool Feed(std::string_view bytes);

  // The next whole event.
  std::optional<StreamEvent> Next();

  // True when part of an event is waiting for its rest.
  bool Partial() const { return this->taken < this->buffer.size(); }

 private:
  static constexpr std::size_t kMaxEventBytes = 1024 * 1024;

  std::size_t most_bytes;
  std::string buffer;
  std::size_t taken = 0;
};

}  // namespace hornbeamspool::http
