#include "policy/balancing/rate_estimate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "policy/balancing/upstream_load.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;

// Half-life of an observation. A VM of a fleet of 80 sees a long prompt at a
// given engine about once in 75 s, all VMs together once a second.
constexpr double kHalfLifeSeconds = 30;
// Largest weight of an average, so that a lasting change is followed within
// some tens of observations.
constexpr double kMaxWeight = 20;
// Weight of a value that is above the estimate.
constexpr double kSlowerWeight = 0.3;
// Largest weight of one report, so that a single wrong peer can't decide.
constexpr double kMaxReportWeight = 2;
// Weight of the service's mean.
constexpr double kPriorWeight = 2;
// Factor by which this VM's observations outweigh those of peers.
constexpr double kOwnFactor = 4;

double BoundedLog(double ms, double prior_ms) {
  return std::log(
      std::clamp(ms, prior_ms * kMinSlowness, prior_ms * kMaxSlowness));
}

}  // namespace

double RateEstimate::Average::WeightAt(TimePoint now) const {
  if (this->weight == 0) return 0;
  const std::chrono::duration<double> age = now - this->updated_at;
  return this->weight * std::exp2(-age.count() / kHalfLifeSeconds);
}

void RateEstimate::Average::Add(double log_value, double added, TimePoint now) {
  const double before = std::min(this->WeightAt(now), kMaxWeight - added);
  this->weight = before + added;
  this->log_ms += (log_value - this->log_ms) * added / this->weight;
  this->updated_at = now;
}

void RateEstimate::OnObserved(double ms, double prior_ms, TimePoint now) {
  const double weight = ms > this->Value(prior_ms, now) ? kSlowerWeight : 1;
  this->own.Add(BoundedLog(ms, prior_ms), weight, now);
}

void RateEstimate::OnReported(const Observed& reported, double prior_ms,
                              TimePoint now) {
  const bool usable = std::isfinite(reported.ms) && reported.ms > 0 &&
                      std::isfinite(reported.weight) && reported.weight > 0;
  if (!usable) return;
  this->peers.Add(BoundedLog(reported.ms, prior_ms),
                  std::min(reported.weight, kMaxReportWeight), now);
}

double RateEstimate::Value(double prior_ms, TimePoint now) const {
  if (this->own.weight == 0 && this->peers.weight == 0) return prior_ms;
  const double own_weight = kOwnFactor * this->own.WeightAt(now);
  const double peers_weight = this->peers.WeightAt(now);
  const double log_ms =
      (kPriorWeight * std::log(prior_ms) + own_weight * this->own.log_ms +
       peers_weight * this->peers.log_ms) /
      (kPriorWeight + own_weight + peers_weight);
  return std::exp(log_ms);
}

RateEstimate::Observed RateEstimate::Own(TimePoint now) const {
  return {std::exp(this->own.log_ms), this->own.WeightAt(now)};
}

}  // namespace hornbeamspool::policy
