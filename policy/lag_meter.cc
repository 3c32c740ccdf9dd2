#include "policy/lag_meter.h"

namespace hornbeamspool::policy {

void LagMeter::Add(coordination::Duration lateness) {
  this->average = (this->average + lateness) / 2;
  if (this->average > kOverloadedLag) this->overloaded = true;
  if (this->average < kRecoveredLag) this->overloaded = false;
}

}  // namespace hornbeamspool::policy
