// How short the VM's own resources are, as a level with hysteresis.
#pragma once

#include <cstdint>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::policy {

enum class PressureLevel : std::uint8_t {
  kNormal,
  kElevated,  // callers should go to other VMs
  kHigh,
  kSevere,
};

struct PressureSample {
  coordination::Duration link_delay{};  // queueing delay
  double link_utilisation = 0;          // measured or expected, 1: full
  coordination::Duration lateness{};    // of timers
  std::int64_t descriptors_used = 0;
  std::int64_t descriptors_max = 0;  // 0: not known
};

class VmPressure {
 public:
  // Adds a sample, about twice a second. The level changes by one at most
  // within a second, so that one late timer or one large body is no reason to
  // refuse requests.
  void Update(const PressureSample& sample, coordination::TimePoint now);

  PressureLevel Level() const { return this->level; }
  // The resource that is shortest: `link`, `descriptors` or `processor`.
  std::string_view Cause() const { return this->cause; }

  // Whether the load balancer may send callers here. False from a level above
  // normal on, until the level has been normal for a while; that time doubles
  // when the pressure returns soon, since the callers then return with the
  // readiness.
  bool IsReady() const { return this->ready; }

  // The least fraction of the offered work that has to yield.
  double MinShed() const;

 private:
  PressureLevel level = PressureLevel::kNormal;
  coordination::TimePoint changed_at{};
  coordination::TimePoint normal_since{};
  coordination::TimePoint ready_since{};
  coordination::Duration hold{};
  std::string_view cause = "link";
  bool ready = true;
};

}  // namespace hornbeamspool::policy
