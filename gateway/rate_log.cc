#include "gateway/rate_log.h"

#include <array>
#include <cstdint>
#include <cstdio>
#include <string>
#include <utility>
#include <vector>

#include "gateway/event_log.h"
#include "hornbeamspool/metrics.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using policy::KeyValue;
using policy::RateLimits;

std::string Decimal(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.3g", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

void LogRateChange(const Context& context, std::string_view instance,
                   RateLimits::Change change, const policy::AnnouncedRate& rate,
                   std::string_view source, coordination::TimePoint now) {
  if (change == RateLimits::Change::kNone) return;
  std::string fields = KeyValue("upstream", instance);
  fields += ' ' + KeyValue("outcome", RateLimits::ChangeName(change));
  fields += ' ' + KeyValue("per_second", Decimal(rate.per_second));
  fields += ' ' + KeyValue("source", source);
  context.log->Write(LogKind::kRateLimit, fields, now);
}

void ReportRates(const Context& context, coordination::TimePoint now) {
  std::vector<RateLimits::Stats> limits = context.core->Limits().AllStats(now);
  for (const RateLimits::Stats& limit : limits) {
    if (limit.sent <= 0) continue;
    std::string fields = KeyValue("upstream", limit.instance);
    fields += ' ' + KeyValue("per_second", Decimal(limit.per_second));
    fields += ' ' + KeyValue("sent_per_second", Decimal(limit.sent));
    fields += ' ' + KeyValue("share", Decimal(limit.issued));
    context.log->Write(LogKind::kRateLimit, fields, now);
  }
  context.metrics->SetRateLimits(std::move(limits));
}

}  // namespace hornbeamspool::gateway
