#include "policy/overload/vm_pressure.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr Duration kStepInterval = std::chrono::seconds(1);

// The load balancer takes two seconds to send callers back, and as long to
// turn them away again.
constexpr Duration kMinHold = std::chrono::seconds(4);
constexpr Duration kMaxHold = std::chrono::seconds(32);
// Pressure that returns within this time extends the next hold.
constexpr Duration kReturnTime = std::chrono::seconds(15);

// A level ends below this fraction of the threshold at which it begins.
constexpr double kHysteresis = 0.6;

// Thresholds of the levels from elevated on. A link that is 0.6 full over a
// second already queues; 0.8 leaves no room for the streams under way to catch
// up. A lateness of 100 ms takes the whole target of the fastest routes.
using Thresholds = std::array<double, 3>;
constexpr Thresholds kUtilisation{0.6, 0.85, 1.1};
constexpr Thresholds kDelayMs{60, 150, 400};
constexpr Thresholds kLatenessMs{100, 250, 500};
constexpr Thresholds kDescriptors{0.8, 0.9, 0.96};

// Work that yields at each level, also when the link seems to have room.
constexpr std::array<double, 4> kMinShed{0, 0, 0.2, 0.5};

double Ms(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

// The level of one resource when the present level is `level`.
std::size_t LevelOf(double value, const Thresholds& thresholds,
                    std::size_t level) {
  std::size_t result = 0;
  for (std::size_t i = 0; i < thresholds.size(); ++i) {
    const double factor = i < level ? kHysteresis : 1;
    if (value > factor * thresholds.at(i)) result = i + 1;
  }
  return result;
}

}  // namespace

void VmPressure::Update(const PressureSample& sample, TimePoint now) {
  const auto present = static_cast<std::size_t>(this->level);
  const double descriptors =
      sample.descriptors_max > 0
          ? static_cast<double>(sample.descriptors_used) /
                static_cast<double>(sample.descriptors_max)
          : 0;
  const std::size_t link =
      std::max(LevelOf(sample.link_utilisation, kUtilisation, present),
               LevelOf(Ms(sample.link_delay), kDelayMs, present));
  const std::size_t files = LevelOf(descriptors, kDescriptors, present);
  const std::size_t processor =
      LevelOf(Ms(sample.lateness), kLatenessMs, present);
  const std::size_t target = std::max({link, files, processor});
  if (target > 0) {
    this->cause = link == target    ? "link"
                  : files == target ? "descriptors"
                                    : "processor";
  }
  if (target != present && now - this->changed_at >= kStepInterval) {
    this->level = static_cast<PressureLevel>(target > present ? present + 1
                                                              : present - 1);
    this->changed_at = now;
    if (this->level == PressureLevel::kNormal) this->normal_since = now;
  }
  if (this->level != PressureLevel::kNormal && this->ready) {
    const bool soon =
        this->hold > Duration(0) && now - this->ready_since < kReturnTime;
    this->hold = soon ? std::min(kMaxHold, 2 * this->hold) : kMinHold;
    this->ready = false;
  }
  const bool over = this->level == PressureLevel::kNormal &&
                    now - this->normal_since >= this->hold;
  if (!this->ready && over) {
    this->ready = true;
    this->ready_since = now;
  }
}

double VmPressure::MinShed() const {
  return kMinShed.at(static_cast<std::size_t>(this->level));
}

}  // namespace hornbeamspool::policy
