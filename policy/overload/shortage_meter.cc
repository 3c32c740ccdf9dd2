#include "policy/overload/shortage_meter.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr double kAverageSeconds = 0.3;

// Queues settle where requests are forecast to begin after this fraction of
// their targets. The least urgent ones, behind which the others are taken, wait
// two to three times as long.
constexpr double kTargetLateness = 0.25;

// A queue integrates what exceeds the capacity, so that a fraction that only
// integrated the lateness would swing without end: the proportional part damps
// it. The product of gain and report age (up to 1 s) has to stay below one
// half.
constexpr double kProportionalGain = 0.3;
constexpr double kIntegralGain = 0.08;
// Of the integral part, in a second.
constexpr double kMaxRise = 0.1;
constexpr double kMaxFall = 0.1;
constexpr double kMaxShed = 0.9;

constexpr double kMaxLateness = 3;

}  // namespace

void ShortageMeter::Add(double lateness, TimePoint now) {
  const double seconds = std::clamp(
      std::chrono::duration<double>(now - this->updated_at).count(), 0.0, 60.0);
  this->updated_at = now;
  const double weight = 1 - std::exp(-seconds / kAverageSeconds);
  // Requests of one instant count once, as their mean.
  constexpr double kMinWeight = 0.01;
  this->lateness += std::max(weight, kMinWeight) *
                    (std::clamp(lateness, 0.0, kMaxLateness) - this->lateness);
  const double error = this->lateness - kTargetLateness;
  const double change = std::clamp(kIntegralGain * error, -kMaxFall, kMaxRise);
  // A VM without requests has learned nothing meanwhile: a long gap counts as
  // recovery. One of 390 VMs may get less than a request a second.
  constexpr double kMaxGap = 4;
  const double gap = std::max(0.0, seconds - kMaxGap);
  this->integral = std::clamp(
      this->integral + change * std::min(seconds, kMaxGap) - kMaxFall * gap,
      0.0, kMaxShed);
  this->shed =
      std::clamp(this->integral + kProportionalGain * error, 0.0, kMaxShed);
}

}  // namespace hornbeamspool::policy
