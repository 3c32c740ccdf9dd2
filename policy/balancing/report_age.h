// How much a report counts by its age.
#pragma once

#include <algorithm>
#include <chrono>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// 1 for a new report, 0.5 at `half_age`, and towards 0 beyond. A rational
// function, since it is evaluated for each upstream of each request.
inline double ReportWeight(coordination::Duration age,
                           coordination::Duration half_age) {
  const double ratio = std::max(0.0, static_cast<double>(age.count()) /
                                         static_cast<double>(half_age.count()));
  return 1 / (1 + ratio * ratio);
}

}  // namespace hornbeamspool::policy
