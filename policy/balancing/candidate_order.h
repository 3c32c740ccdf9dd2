// Visits the indices of a list once each, in an order that depends on the
// request, so that a bounded number of candidates is an even sample.
#pragma once

#include <cstddef>
#include <cstdint>
#include <numeric>

namespace hornbeamspool::policy {

class CandidateOrder {
 public:
  CandidateOrder(std::size_t size, std::uint64_t seed) : size(size) {
    if (size == 0) return;
    constexpr unsigned kHalfBits = 32;
    this->next = static_cast<std::size_t>(seed % size);
    this->stride = 1 + static_cast<std::size_t>((seed >> kHalfBits) % size);
    while (std::gcd(this->stride, size) != 1) ++this->stride;
    this->stride %= size;  // 0 for a single index
  }

  std::size_t Next() {
    const std::size_t index = this->next;
    this->next += this->stride;
    if (this->next >= this->size) this->next -= this->size;
    return index;
  }

 private:
  std::size_t size;
  std::size_t next = 0;
  std::size_t stride = 1;  // shares no divisor with `size`
};

}  // namespace hornbeamspool::policy
