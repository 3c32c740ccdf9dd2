// Log lines and gauges of the rate limits that upstreams announce.
#pragma once

#include <string_view>

#include "coordination/time.h"
#include "gateway/context.h"
#include "policy/announced_rate.h"
#include "policy/rate_limits.h"

namespace hornbeamspool::gateway {

// Writes a line unless nothing changed. `source` says from where the rate is
// known.
void LogRateChange(const Context& context, std::string_view instance,
                   policy::RateLimits::Change change,
                   const policy::AnnouncedRate& rate, std::string_view source,
                   coordination::TimePoint now);

// Writes a line for each limited upstream that this VM has sent requests to,
// and sets its gauges.
void ReportRates(const Context& context, coordination::TimePoint now);

}  // namespace hornbeamspool::gateway
