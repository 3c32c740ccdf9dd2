// Log lines of what overload control admitted, delayed and
// refused, by class and by organisation.
#pragma once

#include <string_view>

#include "coordination/time.h"
#include "gateway/context.h"
#include "policy/overload/overload_counters.h"

namespace hornbeamspool::gateway {

class OverloadLog {
 public:
  explicit OverloadLog(const Context& context) : context(context) {}

  // Writes a line for each class and organisation of which requests were
  // delayed or refused since the last report.
  void Report(coordination::TimePoint now);

 private:
  void WriteChanges(std::string_view kind,
                    const policy::OverloadCounters::ByName& counts,
                    policy::OverloadCounters::ByName& reported,
                    coordination::TimePoint now);

  Context context;
  policy::OverloadCounters::ByName routes;  // as last reported
  policy::OverloadCounters::ByName organisations;
};

}  // namespace hornbeamspool::gateway
