// Rollout of another version of a service's software: a canary phase with a
// bounded fraction of the requests, a verdict on the answers that all VMs saw,
// then a switch of all requests or a rollback. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/store_clock.h"

namespace hornbeamspool::policy {

// The operator's order to roll out a version.
struct RolloutOrder {
  std::string service;
  std::string version;  // the new version
  // From the beginning of the rollout to its end.
  coordination::Duration time_limit{};
  std::uint64_t revision = 0;  // grows with each order of a service
};

enum class RolloutPhase : std::uint8_t {
  kCanary,      // the new version gets a small fraction of the requests
  kSwitched,    // it gets all new requests; the old one finishes its own
  kCompleted,   // the old version may be stopped
  kRolledBack,  // the new version gets no requests
  kCount
};

// Whether the rollout ends with this phase.
constexpr bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

// Whether a rollout that was seen in the phase `known` can't be in `phase` any
// more.
constexpr bool IsBehind(RolloutPhase phase, RolloutPhase known) {
  return IsFinal(known) ? phase != known : phase < known;
}

// The state of a rollout. Kept as one row in the store, written by the driver:
// the VM that decides on the phase while its lease lasts.
struct RolloutProgress {
  std::uint64_t order_revision = 0;
  std::string version;
  RolloutPhase phase = RolloutPhase::kCanary;
  // Times by the store's clock.
  std::int64_t began_ms = 0;
  std::int64_t deadline_ms = 0;
  std::int64_t driver_lease_until_ms = 0;  // when another VM may take over
  std::string driver;                      // the driver's VM
};

// The outcomes of requests that were sent to one version.
struct VersionStats {
  std::int64_t answers = 0;   // ended sends that an upstream may have run
  std::int64_t failures = 0;  // of `answers`
  // Response times: those of complete answers, and the time so far of sends
  // that callers gave up or that are in flight for longer than usual.
  std::int64_t timed_answers = 0;
  double log_ms_sum = 0;  // sum of the logarithms of the times in ms

  void Add(const VersionStats& other);
  void AddTime(coordination::Duration took);
  // The geometric mean of the response times.
  coordination::Duration GeometricMeanTime() const;
};

struct RouteStats {
  VersionStats new_version;
  VersionStats old_version;  // all versions but the new one
};

// What one VM has observed of a rollout, including what its earlier processes
// observed.
struct RolloutReport {
  std::uint64_t order_revision = 0;
  std::uint64_t incarnation = 0;               // of the process that wrote it
  RolloutPhase phase = RolloutPhase::kCanary;  // that the VM follows
  std::int64_t old_in_flight = 0;              // requests at the old version
  std::map<std::string, RouteStats> routes;
  // Answers and failures of the new version on all routes, by the step in which
  // the request was sent: see StepAt. The load on the version differs by step.
  std::map<std::int32_t, VersionStats> new_version_by_step;
};

// The state of a rollout at its beginning.
RolloutProgress BeginRollout(const RolloutOrder& order, std::int64_t store_ms);

// The fraction of a service's requests for the new version, 0 to 1.
double NewVersionFraction(const RolloutProgress& progress,
                          std::int64_t store_ms);

// The index of the rollout's step at this time. The steps divide the time
// limit; each has its own fraction of requests for the new version.
std::int32_t StepAt(const RolloutProgress& progress, std::int64_t store_ms);

// Whether the new version is significantly worse than the old one: it fails
// more often, on all routes together, on one route or in one step, or it is
// slower on one route.
bool IsNewVersionWorse(std::span<const RolloutReport> reports);

// The phase that follows from the reports. `vms` is the number of VMs that send
// to the service's upstreams.
RolloutPhase NextPhase(const RolloutProgress& progress,
                       std::span<const RolloutReport> reports, std::size_t vms,
                       std::int64_t store_ms);

// The rollouts of all services as one VM follows them: chooses the version for
// each request and counts the outcomes.
class VersionRollouts {
 public:
  explicit VersionRollouts(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  // Begins to follow an order. Ignored unless it is newer than the known one.
  void SetOrder(RolloutOrder order);
  void RemoveOrder(std::string_view service);
  // Sets the state of the rollout. Ignored when it is of an older order.
  void SetProgress(std::string_view service, const RolloutProgress& progress);
  // Sets the store's clock, in milliseconds, from an answer received at `now`.
  void SetStoreClock(std::int64_t store_ms, coordination::TimePoint now) {
    this->store_clock.Set(store_ms, now);
  }
  // Adds the report of an earlier process of this VM. Its sends count towards
  // the limit of the canary phase. Ignored when it is of another order or of
  // this process.
  void MergePredecessorReport(std::string_view service,
                              const RolloutReport& report);
  // The number of VMs that send to the service's upstreams.
  void SetFleetSize(std::int64_t vms) { this->fleet_size = vms; }

  // Whether a request may go to an upstream of a version, and whether upstreams
  // of that version come first.
  enum class Eligibility : std::uint8_t {
    kPreferred,
    kAllowed,
    kForbidden,
    kCount
  };
  // Whether the request goes to the new version. Ask once for each request: the
  // answer changes with time and with the number of sends.
  bool UsesNewVersion(std::string_view service, std::string_view request_id,
                      coordination::TimePoint now);
  Eligibility EligibilityOf(std::string_view service, std::string_view version,
                            bool use_new_version) const;

  struct Send {
    std::string_view service;
    std::string_view route;
    std::string_view version;
    coordination::TimePoint sent_at{};
  };
  // Returns the revision of the service's order, for EndedSend; 0 without one.
  std::uint64_t OnSent(const Send& send);
  enum class Outcome : std::uint8_t {
    kAnswered,  // completely, and not with a failure
    kFailed,    // after an upstream may have run it
    // The caller gave up. Counts only as a lower bound of the response time.
    kAbandoned,
    kNotRun,  // counts for nothing
    kCount
  };
  struct EndedSend {
    Send send;
    std::uint64_t revision = 0;  // as returned by OnSent
    Outcome outcome = Outcome::kNotRun;
    coordination::TimePoint ended_at{};
  };
  void OnEnded(const EndedSend& ended);

  // What this VM has observed of the rollout, including the time so far of
  // sends in flight that have taken longer than the mean of the old version.
  // Without them, a slow version would look fast while only its fast answers
  // are in.
  RolloutReport ReportAt(std::string_view service,
                         coordination::TimePoint now) const;

  // Times at which the sends in flight were sent.
  struct InFlightSends {
    std::multiset<coordination::TimePoint> new_version;
    std::multiset<coordination::TimePoint> old_version;
  };
  struct Rollout {
    RolloutOrder order;
    RolloutProgress progress;
    bool begun = false;  // `progress` belongs to `order`
    RolloutReport report;
    std::map<std::string, InFlightSends, std::less<>> in_flight;  // by route
    std::int64_t sends = 0;              // since the order
    std::int64_t new_version_sends = 0;  // of `sends`
  };
  // Null when the service has none.
  const Rollout* Find(std::string_view service) const;
  const std::map<std::string, Rollout, std::less<>>& All() const {
    return this->rollouts;
  }
  // The store's clock now, in ms.
  std::int64_t StoreTime(coordination::TimePoint now) const {
    return this->store_clock.At(now);
  }
  // Whether the store has answered lately enough for the known phases to be in
  // force.
  bool IsStoreClockFresh(coordination::TimePoint now) const;

 private:
  Rollout* FindRollout(std::string_view service);

  std::map<std::string, Rollout, std::less<>> rollouts;  // by service
  StoreClock store_clock;
  std::int64_t fleet_size = 0;  // 0: not known yet
  std::uint64_t incarnation;    // of this process
};

}  // namespace hornbeamspool::policy
