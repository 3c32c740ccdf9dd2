#include "policy/warmup/warmup_bound.h"

#include <algorithm>

#include "policy/rate_limits.h"

namespace hornbeamspool::policy {
namespace {

// A permit may be used this much later than it was issued: its request is sent
// twice, 25 ms apart, and the verdict takes a few milliseconds. Permits of so
// many seconds can arrive within one.
constexpr double kWindowSeconds = 1.06;

}  // namespace

double WarmupBound::IssuedRate(double cold_per_second) const {
  const double bound = cold_per_second * this->overage + this->slack;
  const double sustained = RateLimits::kMaxOverlap * kWindowSeconds;
  constexpr auto kSinglePermits = static_cast<double>(RateLimits::kMaxIssuers);
  // An issuer's bucket holds one permit, or those of a short time at its raised
  // rate.
  const double with_single = (bound - kSinglePermits) / sustained;
  const double with_burst =
      bound / (sustained + RateLimits::kMaxOverlap * RateLimits::kBurstSeconds);
  const double rate = std::min({cold_per_second, with_single, with_burst});
  return rate < RateLimits::kMinPerSecond ? 0 : rate;
}

}  // namespace hornbeamspool::policy
