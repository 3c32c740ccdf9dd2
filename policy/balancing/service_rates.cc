#include "policy/balancing/service_rates.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

// Weights of an observed time below and above the moving average. The average
// stays close to the fastest observations, because slower ones include other
// waits.
constexpr double kFasterWeight = 0.1;
constexpr double kSlowerWeight = 0.01;
// Weight of a peer's estimate. A message holds many, and one wrong message must
// not move the mean by much.
constexpr double kReportedWeight = 0.002;
constexpr double kMaxReportedRatio = 2;
// Bounds of a peer's estimate: no upstream takes less or more for anything.
constexpr double kMinReportedMs = 1e-4;
constexpr double kMaxReportedMs = 1e4;
// Weight of one report of the running requests.
constexpr double kRunningWeight = 0.02;

}  // namespace

void ServiceRates::Mean::Add(double value) {
  if (value <= 0) return;
  if (this->ms == 0 || this->only_reported) this->ms = value;
  this->only_reported = false;
  this->ms +=
      (value < this->ms ? kFasterWeight : kSlowerWeight) * (value - this->ms);
}

void ServiceRates::Mean::AddReported(double value) {
  const bool possible = value >= kMinReportedMs && value <= kMaxReportedMs;
  if (!possible) return;
  if (this->ms == 0) {
    this->ms = value;
    this->only_reported = true;
  }
  const double bounded = std::clamp(value, this->ms / kMaxReportedRatio,
                                    this->ms * kMaxReportedRatio);
  this->ms += kReportedWeight * (bounded - this->ms);
}

void ServiceRates::OnRunning(double requests) {
  this->running += kRunningWeight * (requests - this->running);
}

}  // namespace hornbeamspool::policy
