// Bounds the memory of one VM for buffered answers, over all requests. Without
// the bound, endless answers would fill the memory.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

class BufferQuota {
 public:
  explicit BufferQuota(std::int64_t limit) : limit(limit) {}

  // Reserves `bytes`; false, without effect, when the limit would be exceeded.
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
