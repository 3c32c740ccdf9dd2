#include "policy/overload/yield_order.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Long enough to hold some requests of each class where a VM gets two a second,
// short enough to follow a burst.
constexpr double kAverageSeconds = 5;

constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

}  // namespace

std::size_t YieldOrder::CellOf(std::int64_t priority, bool first_attempt,
                               std::int64_t work, Duration time_left) {
  const double seconds =
      std::max(0.001, std::chrono::duration<double>(time_left).count());
  const double per_second =
      static_cast<double>(std::max<std::int64_t>(1, work)) / seconds;
  const auto size = std::clamp<std::int64_t>(
      static_cast<std::int64_t>(std::log2(1 + per_second)), 0, kSizes - 1);
  const std::int64_t clamped =
      std::clamp<std::int64_t>(priority, 0, kPriorities - 1);
  const std::int64_t row =
      (first_attempt ? kPriorities : 0) + kPriorities - 1 - clamped;
  return static_cast<std::size_t>(row * kSizes + kSizes - 1 - size);
}

void YieldOrder::Refresh(TimePoint now) {
  if (now - this->refreshed_at < kRefreshInterval) return;
  const double seconds =
      std::chrono::duration<double>(now - this->refreshed_at).count();
  this->refreshed_at = now;
  const double remaining = std::exp(-seconds / kAverageSeconds);
  double total = 0;
  for (double& cell : this->work) {
    cell *= remaining;
    total += cell;
  }
  double sum = 0;
  for (std::size_t i = 0; i < kCells; ++i) {
    this->begin.at(i) = total > 0 ? sum / total : 0;
    sum += this->work.at(i);
    this->end.at(i) = total > 0 ? sum / total : 1;
  }
}

YieldOrder::Range YieldOrder::Offer(std::int64_t priority, bool first_attempt,
                                    std::int64_t work, Duration time_left,
                                    TimePoint now) {
  this->Refresh(now);
  this->work.at(CellOf(priority, first_attempt, work, time_left)) +=
      static_cast<double>(std::max<std::int64_t>(1, work));
  return this->Find(priority, first_attempt, work, time_left);
}

YieldOrder::Range YieldOrder::Find(std::int64_t priority, bool first_attempt,
                                   std::int64_t work,
                                   Duration time_left) const {
  const std::size_t cell = CellOf(priority, first_attempt, work, time_left);
  return {this->begin.at(cell), this->end.at(cell)};
}

double YieldOrder::ServedFraction(Range range, double shed, double floor) {
  if (shed <= 0) return 1;
  shed = std::min(shed, 1.0);
  floor = std::min(floor, 1 - shed);
  const double yielding = shed / (1 - floor);
  if (range.end <= yielding) return floor;
  if (range.begin >= yielding) return 1;
  const double part =
      (yielding - range.begin) / std::max(1e-9, range.end - range.begin);
  return 1 - (1 - floor) * part;
}

}  // namespace hornbeamspool::policy
