// Keeps which instances of upstreams are cold, and limits the requests to them.
//
// A cold instance needs to warm up for some seconds, and meanwhile takes few
// requests from all VMs together. Each request to it takes a permit of a rate
// limit that is independent of the one that the instance may announce: its key
// in RateLimits is derived from the instance's.
//
// A period of cold is told to other VMs by its start, with the age of the
// limit's announcement; it lasts for the `cold_start` of the service. A VM
// takes the latest start that it has heard of. No message ends a period: it
// ends by the steady clock, so that a stale row can only prolong it.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/gateway_config.h"
#include "policy/rate_limits.h"
#include "policy/upstream_directory.h"
#include "policy/warmup/warmup_bound.h"

namespace hornbeamspool::policy {

class ColdUpstreams {
 public:
  // `limits` must outlive this object.
  ColdUpstreams(RateLimits& limits, WarmupBound bound)
      : limits(&limits), bound(bound) {}

  // The key in RateLimits of the limit on a cold instance.
  static std::string PermitKey(std::string_view instance);
  // The instance of such a key; empty when the key is of another limit.
  static std::optional<std::string_view> InstanceOf(std::string_view key);

  // Takes the services' rates from a configuration.
  void SetServices(const std::map<std::string, Service, std::less<>>& services);

  // The following return whether the instance has become cold.

  // An entry of the registry was read.
  bool OnRegistered(const UpstreamEntry& entry, coordination::TimePoint now);
  // The upstream itself has said how long it stays cold.
  bool OnHealth(const UpstreamEntry& entry, coordination::Duration cold_left,
                coordination::TimePoint now);
  // RateLimits has taken a message of another VM on the key. `service` is empty
  // when the instance is not known here.
  bool OnPeerReport(std::string_view key, std::string_view service,
                    coordination::TimePoint now);

  // Ends the periods that have passed; returns their instances.
  std::vector<std::string> Expire(coordination::TimePoint now);

  // Whether a request may be sent to an instance.
  enum class Use : std::uint8_t {
    kWarm,
    kByPermit,  // with a permit of PermitKey
    kNone,      // the bound has no room for requests before it is warm
    kCount
  };
  Use UseOf(std::string_view instance, coordination::TimePoint now) const;
  bool IsCold(std::string_view instance, coordination::TimePoint now) const {
    return this->UseOf(instance, now) != Use::kWarm;
  }
  // Whether any instance counts as cold.
  bool Any() const { return !this->cold.empty(); }
  // Until when the instance is cold; zero when it is warm.
  coordination::TimePoint ColdUntil(std::string_view instance) const;

  // Sends and refusals that an exhausted limit of a cold instance has caused.
  struct Counts {
    std::int64_t redirected = 0;  // requests sent to another upstream
    std::int64_t refused = 0;
  };
  void CountRedirected() { ++this->counts.redirected; }
  void CountRefused() { ++this->counts.refused; }
  // Returns the counts since the last call.
  Counts TakeCounts();

 private:
  struct Rate {
    double issued = 0;                    // requests a second; 0: closed
    coordination::Duration cold_start{};  // length of a period
  };
  struct State {
    std::string service;              // empty: not known here
    coordination::TimePoint start{};  // of the period of cold
  };
  struct Unconfigured {
    std::string service;
    coordination::TimePoint end{};
  };

  const Rate* RateOf(const State& state) const;
  coordination::TimePoint EndOf(const State& state) const;
  // Prolongs the period if it has begun later than known so far.
  bool SetStart(std::string_view instance, std::string_view service,
                coordination::TimePoint start, coordination::TimePoint now);
  // Makes the limit in RateLimits agree with the state.
  void ApplyLimit(std::string_view instance, const State& state);
  void EndLimit(std::string_view instance);

  RateLimits* limits;
  WarmupBound bound;
  // Of the services whose upstreams can be cold.
  std::map<std::string, Rate, std::less<>> rates;
  Rate unknown_service;  // the longest period of all services
  std::map<std::string, State, std::less<>> cold;  // by instance
  // Instances that are cold by their rows, and until when, of services without
  // a rate: the configuration may be read after the rows.
  std::map<std::string, Unconfigured, std::less<>> unconfigured;
  Counts counts;
};

}  // namespace hornbeamspool::policy
