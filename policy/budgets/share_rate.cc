#include "policy/budgets/share_rate.h"

#include <algorithm>

namespace hornbeamspool::policy {

double InitialRateFraction(const ShareRateOptions& options,
                           const ShareRateInputs& inputs) {
  const double initial_seconds =
      std::chrono::duration<double>(options.initial_rate_time).count();
  const double stranded =
      inputs.demand_per_second *
      (options.burst_seconds + options.rate_factor * initial_seconds);
  const double allowed =
      static_cast<double>(inputs.left) * options.max_stranded_fraction;
  return stranded <= allowed
             ? 1
             : std::max(options.min_initial_rate_fraction, allowed / stranded);
}

std::int64_t CatchUpRate(const ShareRateOptions& options,
                         const ShareRateInputs& inputs) {
  const double demand = inputs.demand_per_second;
  const double initial_seconds =
      std::chrono::duration<double>(options.initial_rate_time).count();
  const double late_seconds =
      std::chrono::duration<double>(options.late_restart_time).count();
  const double allowed =
      static_cast<double>(inputs.left) * options.max_late_stranded_fraction;
  const double stranded =
      demand * (options.burst_seconds + options.rate_factor * late_seconds);
  if (stranded <= allowed || late_seconds <= initial_seconds) return 0;
  const double initial =
      InitialRateFraction(options, inputs) * demand *
      (options.burst_seconds + options.rate_factor * initial_seconds);
  const double rate = (allowed - initial) / (late_seconds - initial_seconds);
  return static_cast<std::int64_t>(
      std::max(rate, demand * options.min_catch_up_factor));
}

void SetShareRate(const ShareRateOptions& options,
                  const ShareRateInputs& inputs, BudgetShare& share) {
  const double demand = inputs.demand_per_second;
  const double fraction = InitialRateFraction(options, inputs);
  const auto demand_burst =
      static_cast<std::int64_t>(demand * options.burst_seconds * fraction);
  // Until the demand is known, the whole limit may be spent at once.
  share.burst =
      demand == 0 ? inputs.unspent
                  : std::max(demand_burst, inputs.min_burst) + inputs.shortfall;
  share.per_second = static_cast<std::int64_t>(demand * options.rate_factor);
  share.initial_per_second =
      static_cast<std::int64_t>(demand * options.rate_factor * fraction);
  share.initial_rate_ms = coordination::Milliseconds(options.initial_rate_time);
  share.catch_up_per_second = CatchUpRate(options, inputs);
}

}  // namespace hornbeamspool::policy
