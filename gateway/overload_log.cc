#include "gateway/overload_log.h"

#include <cstddef>
#include <cstdint>
#include <string>

#include "gateway/event_log.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

using policy::KeyValue;
using policy::OverloadCounters;
using policy::OverloadReason;

void OverloadLog::WriteChanges(std::string_view kind,
                               const OverloadCounters::ByName& counts,
                               OverloadCounters::ByName& reported,
                               coordination::TimePoint now) {
  for (const auto& [name, present] : counts) {
    const OverloadCounters::Counts before = reported[name];
    reported[name] = present;
    const std::int64_t delayed = present.delayed - before.delayed;
    std::string refused;
    for (std::size_t i = 0; i < present.refused.size(); ++i) {
      const std::int64_t count = present.refused.at(i) - before.refused.at(i);
      if (count == 0) continue;
      const auto reason = static_cast<OverloadReason>(i);
      refused +=
          ' ' +
          KeyValue("refused_" + std::string(OverloadReasonName(reason)), count);
    }
    if (delayed == 0 && refused.empty()) continue;
    this->context.log->Write(
        LogKind::kOverload,
        KeyValue(kind, name) + ' ' +
            KeyValue("admitted", present.admitted - before.admitted) + ' ' +
            KeyValue("delayed", delayed) + refused,
        now);
  }
}

void OverloadLog::Report(coordination::TimePoint now) {
  const OverloadCounters& counters = this->context.core->Overload().Counters();
  this->WriteChanges("route", counters.ByRoute(), this->routes, now);
  this->WriteChanges("organisation", counters.ByOrganisation(),
                     this->organisations, now);
}

}  // namespace hornbeamspool::gateway
