// Bytes of answers that the VM holds until they are whole, all requests
// together: answers without end must not fill its memory.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

class BufferQuota {
 public:
  explicit BufferQuota(std::int64_t limit) : limit(limit) {}

  // False: there is no room for so many more.
  bool TryReserve(std::int64_t bytes) {
    if (this->reserved + bytes > this->limit) return false;
    this->reserved += bytes;
    return true;
  }
  void Release(std::int64_t bytes) { this->reserved -= bytes; }

 private:
  std::int64_t limit;
  std::int64_t reserved = 0;
};

}  // namespace hornbeamspool::policy
