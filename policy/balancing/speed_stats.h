// The estimated speed of one upstream, for operators.
#pragma once

#include <string>

#include "policy/balancing/instance_speed.h"

namespace hornbeamspool::policy {

struct SpeedStats {
  std::string upstream;
  InstanceRates rates;  // at a slowness of 1
  double slowness = 1;  // expected now
};

}  // namespace hornbeamspool::policy
