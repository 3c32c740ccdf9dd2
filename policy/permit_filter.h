// Decides for one request which upstreams their rate limits leave, and what to
// do when they leave none.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "policy/rate_limits.h"

namespace hornbeamspool::policy {

// The permits of one request.
struct PermitState {
  std::string granted;        // instance; empty: none
  std::int64_t requests = 0;  // to other VMs
};

class PermitFilter {
 public:
  PermitFilter(RateLimits& limits, const PermitState& state,
               coordination::TimePoint now)
      : limits(&limits), state(&state), now(now) {}

  // Whether the request may be sent to the instance, or a permit for it may be
  // requested.
  bool Allows(std::string_view instance);
  // Whether an instance was left out.
  bool Excluded() const { return this->excluded; }

  // What to do when no upstream is left: wait for a permit until `retry_at`, or
  // refuse the request.
  struct Outcome {
    bool waits = false;
    coordination::TimePoint retry_at{};
    coordination::Duration retry_after{};  // of a refusal
  };
  // A request waits only as long as it can still be answered within its target
  // latency.
  Outcome Decide(coordination::TimePoint arrived,
                 coordination::Duration target_latency,
                 coordination::TimePoint deadline) const;

 private:
  RateLimits* limits;
  const PermitState* state;
  coordination::TimePoint now;
  bool excluded = false;
  coordination::TimePoint retry_at{};  // the earliest possible permit
  coordination::Duration backlog{};    // the shortest one
};

}  // namespace hornbeamspool::policy
