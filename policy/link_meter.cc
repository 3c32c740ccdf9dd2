#include "policy/link_meter.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::policy {
namespace {

constexpr std::int64_t kMicroseconds = 1'000'000;

}  // namespace

void LinkMeter::Add(std::int64_t bytes, coordination::TimePoint now) {
  if (this->bytes_per_second <= 0) return;
  this->free_at =
      std::max(this->free_at, now) +
      coordination::Duration(bytes * kMicroseconds / this->bytes_per_second);
}

coordination::Duration LinkMeter::Delay(coordination::TimePoint now) const {
  return std::max(coordination::Duration(0), this->free_at - now);
}

}  // namespace hornbeamspool::policy
