#include "policy/balancing/load_estimate.h"

#include <chrono>

#include "policy/balancing/report_age.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Age at which a report counts half: about the time of one streamed answer.
constexpr Duration kHalfAge = std::chrono::milliseconds(1000);

}  // namespace

bool LoadEstimate::OnReport(const UpstreamLoad& load, TimePoint taken_at) {
  if (this->last && taken_at <= this->last_at) return false;
  this->last = load;
  this->last_at = taken_at;
  this->sent_since = 0;
  return true;
}

ExpectedLoad LoadEstimate::Expected(double mean_running, TimePoint now) const {
  if (!this->last) return {mean_running, 0};
  const double weight = ReportWeight(now - this->last_at, kHalfAge);
  const auto running =
      static_cast<double>(this->last->running + this->sent_since);
  return {mean_running + weight * (running - mean_running),
          weight * static_cast<double>(this->last->waiting)};
}

}  // namespace hornbeamspool::policy
