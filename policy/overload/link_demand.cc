#include "policy/overload/link_demand.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;

// A time over which streams of a few seconds spread their bytes.
constexpr double kOfferedSeconds = 2;

// The estimates are compared with what was carried over this time, which spans
// whole streams.
constexpr double kCorrectionSeconds = 15;
constexpr double kMinCorrection = 0.7;
constexpr double kMaxCorrection = 2.5;

// The rest is left for bursts, so that events of streams don't queue.
constexpr double kUsableFraction = 0.75;

}  // namespace

double LinkDemand::Sum::At(TimePoint now, double seconds) const {
  const double age = std::chrono::duration<double>(now - this->at).count();
  return this->bytes * std::exp(-std::max(0.0, age) / seconds);
}

void LinkDemand::Sum::Add(std::int64_t amount, TimePoint now, double seconds) {
  this->bytes = this->At(now, seconds) + static_cast<double>(amount);
  this->at = now;
}

void LinkDemand::Offer(std::int64_t bytes, TimePoint now) {
  this->offered.Add(bytes, now, kOfferedSeconds);
}

void LinkDemand::OnAdmitted(std::int64_t bytes, TimePoint now) {
  this->admitted.Add(bytes, now, kCorrectionSeconds);
}

void LinkDemand::OnMeasured(std::int64_t bytes, TimePoint now) {
  this->measured.Add(bytes, now, kCorrectionSeconds);
}

// 1 until the link has carried enough to compare.
double LinkDemand::Correction(TimePoint now) const {
  const double expected = this->admitted.At(now, kCorrectionSeconds);
  const double carried = this->measured.At(now, kCorrectionSeconds);
  const bool comparable =
      carried > 0 && expected >= static_cast<double>(this->bytes_per_second);
  if (!comparable) return 1;
  return std::clamp(carried / expected, kMinCorrection, kMaxCorrection);
}

double LinkDemand::Utilisation(TimePoint now) const {
  if (this->bytes_per_second <= 0) return 0;
  return this->offered.At(now, kOfferedSeconds) * this->Correction(now) /
         (kOfferedSeconds * static_cast<double>(this->bytes_per_second));
}

double LinkDemand::Shed(TimePoint now) const {
  const double utilisation = this->Utilisation(now);
  if (utilisation <= kUsableFraction) return 0;
  return 1 - kUsableFraction / utilisation;
}

}  // namespace hornbeamspool::policy
