#include "policy/reachability_meter.h"

#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

// Sends count for about this time.
constexpr double kMemorySeconds = 2.0;

// Fewer misses than this tell nothing.
constexpr double kLeastMissed = 5;

// Shares of the sends, with hysteresis.
constexpr double kIsolatedShare = 0.2;
constexpr double kReachingShare = 0.05;

}  // namespace

void ReachabilityMeter::Decay(coordination::TimePoint now) {
  const double seconds = std::chrono::duration<double>(now - this->at).count();
  const double keep = std::exp(-seconds / kMemorySeconds);
  this->sends *= keep;
  this->missed *= keep;
  this->at = now;
}

void ReachabilityMeter::Add(bool reached, coordination::TimePoint now) {
  this->Decay(now);
  this->sends += 1;
  if (!reached) this->missed += 1;
}

bool ReachabilityMeter::IsIsolated(coordination::TimePoint now) {
  this->Decay(now);
  if (this->missed >= kLeastMissed &&
      this->missed > this->sends * kIsolatedShare) {
    this->isolated = true;
  }
  if (this->missed <= this->sends * kReachingShare || this->missed < 1) {
    this->isolated = false;
  }
  return this->isolated;
}

}  // namespace hornbeamspool::policy
