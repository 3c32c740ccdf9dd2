#include "policy/balancing/slowness_estimate.h"

#include <algorithm>
#include <chrono>

#include "policy/balancing/report_age.h"
#include "policy/balancing/upstream_load.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Age at which a report counts half. An engine that is slow for a second is
// over it half a second after a report on average.
constexpr Duration kHalfAge = std::chrono::milliseconds(500);
// Number of reports over which the mean is taken.
constexpr double kMeanReports = 30;
// Weight of the usual speed in the mean, so that one false report doesn't set
// it.
constexpr double kPriorReports = 2;

}  // namespace

void SlownessEstimate::OnReport(double slowness, TimePoint taken_at) {
  const bool first = this->reports == 0;
  if (!first && taken_at <= this->last_at) return;
  this->last = std::clamp(slowness, kMinSlowness, kMaxSlowness);
  this->last_at = taken_at;
  this->reports = std::min(this->reports + 1, kMeanReports);
  this->mean += (this->last - this->mean) / (this->reports + kPriorReports);
  const double above = std::max(0.0, this->last - this->mean);
  this->upward_deviation += (above - this->upward_deviation) / this->reports;
}

double SlownessEstimate::WeightOfLast(TimePoint now) const {
  return this->reports == 0 ? 0 : ReportWeight(now - this->last_at, kHalfAge);
}

double SlownessEstimate::Expected(TimePoint now) const {
  return this->mean + (this->last - this->mean) * this->WeightOfLast(now);
}

double SlownessEstimate::Peak(TimePoint now) const {
  const double weight = this->WeightOfLast(now);
  return this->mean + (this->last - this->mean) * weight +
         this->upward_deviation * (1 - weight);
}

}  // namespace hornbeamspool::policy
