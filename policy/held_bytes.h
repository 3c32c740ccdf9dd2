// Bytes of answers that the VM holds until they are whole, all requests
// together: answers without end must not fill its memory.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

class HeldBytes {
 public:
  explicit HeldBytes(std::int64_t most) : most(most) {}

  // False: there is no room for so many more.
  bool Take(std::int64_t bytes) {
    if (this->held + bytes > this->most) return false;
    this->held += bytes;
    return true;
  }
  void Give(std::int64_t bytes) { this->held -= bytes; }

 private:
  std::int64_t most;
  std::int64_t held = 0;
};

}  // namespace hornbeamspool::policy
