#include "policy/reachability_meter.h"

#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

// Time constant of the decay.
constexpr double kDecaySeconds = 2.0;

// With fewer, the fraction is not significant.
constexpr double kMinUnreachable = 5;

// Fractions of the sends.
constexpr double kIsolatedFraction = 0.2;
constexpr double kRecoveredFraction = 0.05;

}  // namespace

void ReachabilityMeter::Decay(coordination::TimePoint now) {
  const double seconds =
      std::chrono::duration<double>(now - this->updated_at).count();
  const double decay = std::exp(-seconds / kDecaySeconds);
  this->sends *= decay;
  this->unreachable *= decay;
  this->updated_at = now;
}

void ReachabilityMeter::Add(bool reached, coordination::TimePoint now) {
  this->Decay(now);
  this->sends += 1;
  if (!reached) this->unreachable += 1;
}

bool ReachabilityMeter::IsIsolated(coordination::TimePoint now) {
  this->Decay(now);
  if (this->unreachable >= kMinUnreachable &&
      this->unreachable > this->sends * kIsolatedFraction) {
    this->isolated = true;
  }
  if (this->unreachable <= this->sends * kRecoveredFraction ||
      this->unreachable < 1) {
    this->isolated = false;
  }
  return this->isolated;
}

}  // namespace hornbeamspool::policy
