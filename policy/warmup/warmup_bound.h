// How many requests a cold upstream may get.
#pragma once

namespace hornbeamspool::policy {

// In any second, a cold upstream gets at most `overage` times its rate, and
// `slack` requests, from all VMs together.
struct WarmupBound {
  double overage = 1.5;
  double slack = 5;

  // The limit, in requests a second, that the issuers of permits enforce for an
  // upstream that takes `cold_per_second`: their raised parts and their bursts
  // stay within the bound. 0 when the bound has no room for the bursts.
  double IssuedRate(double cold_per_second) const;
};

}  // namespace hornbeamspool::policy
