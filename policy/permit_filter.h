// Decides for one request which upstreams their rate limits leave, and what to
// do when they leave none. A cold instance has a limit of its own, beside the
// one that it announces; a request to it takes a permit of each.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/rate_limits.h"

namespace hornbeamspool::policy {

class ColdUpstreams;

// The permits of one request.
struct PermitState {
  std::string granted;         // instance; empty: none
  std::string granted_warmup;  // ColdUpstreams::PermitKey; empty: none
  std::int64_t requests = 0;   // to other VMs

  // Another VM has granted the permit of this key.
  void Add(std::string key);
  // The permits were used.
  void Clear();
};

class PermitFilter {
 public:
  // `cold` may be null.
  PermitFilter(RateLimits& limits, const PermitState& state,
               coordination::TimePoint now, ColdUpstreams* cold = nullptr)
      : limits(&limits), state(&state), now(now), cold(cold) {}

  // Whether the request may be sent to the instance, or a permit for it may be
  // requested.
  bool Allows(std::string_view instance);
  // Whether the request holds a permit for the instance.
  bool HoldsPermit(std::string_view instance) const;
  // A permit that another VM must grant before the request is sent.
  struct Missing {
    std::string key;
    std::string issuer;
  };
  std::optional<Missing> MissingPermit(std::string_view instance);
  // The request is sent: takes the permits that this VM issues itself.
  void TakeOwn(std::string_view instance);
  // The request is refused: no instance was left.
  void CountRefusal();
  // Cold instances would not have been used: their limits don't count as a
  // cause.
  void ForgetColdExclusions() { this->cold_excluded = false; }
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
  // A limit that a request to an instance needs a permit of.
  struct Limit {
    std::string key;
    bool held = false;  // the permit, granted by another VM
  };

  std::vector<Limit> LimitsOf(std::string_view instance) const;
  bool LimitAllows(const Limit& limit);
  void Exclude(coordination::TimePoint retry_at,
               coordination::Duration backlog);

  RateLimits* limits;
  const PermitState* state;
  coordination::TimePoint now;
  ColdUpstreams* cold;
  bool excluded = false;
  bool cold_excluded = false;          // because of a cold instance's limit
  coordination::TimePoint retry_at{};  // the earliest possible permit
  coordination::Duration backlog{};    // the shortest one
};

}  // namespace hornbeamspool::policy
