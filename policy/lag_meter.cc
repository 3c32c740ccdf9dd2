#include "policy/lag_meter.h"

namespace hornbeamspool::policy {

void LagMeter::Add(coordination::Duration lateness) {
  this->average = (this->average + lateness) / 2;
  if (this->average > kBehind) this->behind = true;
  if (this->average < kOnTime) this->behind = false;
}

}  // namespace hornbeamspool::policy
