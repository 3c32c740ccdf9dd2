// Rollout of another version of a service's software: a canary phase with a
// bounded number of requests, a verdict on the answers that all VMs saw, then a
// switch of all requests or a rollback. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/rollout_report.h"
#include "policy/rollout_verdict.h"
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

// The state of a rollout that was ordered at `store_ms`.
RolloutProgress BeginRollout(const RolloutOrder& order, std::int64_t store_ms);

// The phase that follows from the reports. `vms` is the number of VMs that send
// to the service's upstreams.
//
// The rollout switches once the new version is proven good, and so late that a
// version that turns bad after that stays within the limit. Where that can't be
// in time, it is rolled back.
RolloutPhase NextPhase(const RolloutProgress& progress,
                       std::span<const RolloutReport> reports, std::size_t vms,
                       const ExposureLimit& limit, std::int64_t store_ms);

// Whether the next decision is due soon, so that VMs report and the driver
// decides at short intervals.
bool IsDecisionNear(const RolloutProgress& progress, std::int64_t store_ms);

// The rollouts of all services as one VM follows them: chooses the version for
// each request and counts the outcomes.
class VersionRollouts {
 public:
  explicit VersionRollouts(std::uint64_t incarnation, ExposureLimit limit = {})
      : incarnation(incarnation), limit(limit) {}

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
  // Whether a request that is sent now goes to the new version.
  bool UsesNewVersion(std::string_view service, std::string_view route,
                      coordination::TimePoint now) const;
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
    std::int64_t events = 0;  // of a stream's answer
    bool arrived = true;      // at an upstream, which has answered
    coordination::TimePoint ended_at{};
  };
  void OnEnded(const EndedSend& ended);

  // What this VM has observed of the rollout, including the time so far of
  // sends in flight. Without them, a slow version would look fast while only
  // its fast answers are in.
  RolloutReport ReportAt(std::string_view service,
                         coordination::TimePoint now) const;

  // The sends of one route: their numbers, and the times at which those in
  // flight were sent.
  struct RouteSends {
    std::int64_t all = 0;
    std::int64_t to_new_version = 0;
    std::multiset<coordination::TimePoint> new_version;
    std::multiset<coordination::TimePoint> old_version;
  };
  struct Rollout {
    RolloutOrder order;
    RolloutProgress progress;
    bool begun = false;  // `progress` belongs to `order`
    RolloutReport report;
    std::map<std::string, RouteSends, std::less<>> by_route;
    std::int64_t sends_in_flight = 0;
    // Sends that had arrived or were in flight when the load step began.
    std::optional<std::int64_t> arrived_before_load;
    // When this VM sent its first request after the switch.
    std::optional<coordination::TimePoint> switched_at;
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
  const ExposureLimit& Limit() const { return this->limit; }

 private:
  Rollout* FindRollout(std::string_view service);
  // Number of requests that the canary may have got from this VM by now.
  std::int64_t CanaryQuota(const Rollout& rollout,
                           coordination::TimePoint now) const;
  bool MaySendCanary(const Rollout& rollout, std::string_view route,
                     coordination::TimePoint now) const;
  std::int32_t StepOf(const Rollout& rollout,
                      coordination::TimePoint sent_at) const;

  std::map<std::string, Rollout, std::less<>> rollouts;  // by service
  StoreClock store_clock;
  std::int64_t fleet_size = 0;  // 0: not known yet
  std::uint64_t incarnation;    // of this process
  ExposureLimit limit;
};

}  // namespace hornbeamspool::policy
