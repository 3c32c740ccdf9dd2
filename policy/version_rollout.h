// Moving a service to another version of its software: a trial with a bounded
// part of the requests, a verdict from the answers that all VMs saw, then a
// switch of all requests, or none. No I/O.
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

// What the operator asks for.
struct RolloutOrder {
  std::string service;
  std::string version;               // to rollout to
  coordination::Duration allowed{};  // from the order to the end of the move
  std::uint64_t revision = 0;  // tells one order of a service from the next
};

enum class RolloutPhase : std::uint8_t {
  kCanary,      // the new version gets a small part of the requests
  kSwitched,    // it gets all; the old one ends what it has
  kCompleted,   // the old version may be stopped
  kRolledBack,  // the new version gets nothing
  kCount
};

// Whether nothing follows this phase.
constexpr bool IsFinal(RolloutPhase phase) {
  return phase == RolloutPhase::kCompleted ||
         phase == RolloutPhase::kRolledBack;
}

// How far a rollout has come: one row in the store, written by the VM that
// drives the rollout.
struct RolloutProgress {
  std::uint64_t order_revision = 0;
  std::string version;
  RolloutPhase phase = RolloutPhase::kCanary;
  // By the store's clock.
  std::int64_t began_ms = 0;
  std::int64_t deadline_ms = 0;
  std::int64_t driver_until_ms = 0;  // when another VM may take over
  std::string driver;                // VM
};

// How one version answered one route's requests.
struct VersionStats {
  std::int64_t answers = 0;        // sends that an upstream may have run
  std::int64_t failures = 0;       // of these: failures
  std::int64_t timed_answers = 0;  // whole answers
  double log_ms_sum = 0;           // sum of the logarithms of their times

  void Add(const VersionStats& other);
  void AddTime(coordination::Duration took);
  // The typical time: the mean of the logarithms, as a time.
  coordination::Duration GeometricMeanTime() const;
};

struct RouteStats {
  VersionStats new_version;  // the new version
  VersionStats old_version;  // the others
};

// What one VM has seen of a rollout, its predecessors included.
struct RolloutReport {
  std::uint64_t order_revision = 0;
  std::uint64_t incarnation = 0;               // of the process that wrote it
  RolloutPhase phase = RolloutPhase::kCanary;  // the one that the VM follows
  std::int64_t old_in_flight = 0;              // requests at the old version
  std::map<std::string, RouteStats> routes;
  // Of the new version on all routes, by the step in which it was sent: each
  // has another load.
  std::map<std::int32_t, VersionStats> new_version_by_step;
};

// The progress with which a rollout begins.
RolloutProgress BeginRollout(const RolloutOrder& order, std::int64_t store_ms);

// The part of a service's requests for the new version, 0 to 1.
double NewVersionFraction(const RolloutProgress& progress,
                          std::int64_t store_ms);

// The step of a rollout at this time: each brings the new version another part
// of the requests.
std::int32_t StepAt(const RolloutProgress& progress, std::int64_t store_ms);

// Whether the new version fails more often, or answers more slowly, than the
// old one, on all routes together or on one, or fails in one step.
bool IsNewVersionWorse(std::span<const RolloutReport> reports);

// The phase that follows from the reports of `vms` VMs.
RolloutPhase NextPhase(const RolloutProgress& progress,
                       std::span<const RolloutReport> reports, std::size_t vms,
                       std::int64_t store_ms);

// The moves of all services at one VM: which version a request goes to, and
// what came of it.
class VersionRollouts {
 public:
  explicit VersionRollouts(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  void SetOrder(RolloutOrder order);
  void RemoveOrder(std::string_view service);
  // Takes progress unless it belongs to an older order.
  void SetProgress(std::string_view service, const RolloutProgress& progress);
  // The store answered now, and told its clock.
  void SetStoreClock(std::int64_t store_ms, coordination::TimePoint now) {
    this->store_clock.Set(store_ms, now);
  }
  // What this VM's predecessor has seen of a rollout counts on, and so do the
  // sends that it made.
  void MergePredecessorReport(std::string_view service,
                              const RolloutReport& report);
  // The number of VMs that send to the service's upstreams.
  void SetFleetSize(std::int64_t vms) { this->fleet_size = vms; }

  // Whether a request may go to an upstream of this version, and whether one of
  // this version is to be preferred.
  enum class Eligibility : std::uint8_t {
    kPreferred,
    kAllowed,
    kForbidden,
    kCount
  };
  // Decides once for each request whether it takes part in the trial.
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
  // Returns the revision of the order in force, for OnEnded; 0: none.
  std::uint64_t OnSent(const Send& send);
  // A send that did not run tells nothing; one that the caller gave up tells
  // that it would have taken longer.
  enum class Outcome : std::uint8_t {
    kAnswered,  // whole, and no failure
    kFailed,    // after an upstream may have run it
    kGivenUp,
    kNotRun,
    kCount
  };
  struct EndedSend {
    Send send;
    std::uint64_t revision = 0;  // as OnSent gave it
    Outcome outcome = Outcome::kNotRun;
    coordination::TimePoint ended_at{};
  };
  void OnEnded(const EndedSend& ended);

  // What this VM has seen of the service's rollout: answers, and sends that are
  // still out after longer than this VM's answers of the old version took.
  // Without these a version would seem the faster the fewer of its answers come
  // in time.
  RolloutReport ReportAt(std::string_view service,
                         coordination::TimePoint now) const;

  struct OpenSends {
    std::multiset<coordination::TimePoint> new_version;  // to the new version
    std::multiset<coordination::TimePoint> old_version;
  };
  struct Rollout {
    RolloutOrder order;
    RolloutProgress progress;
    bool begun = false;  // `progress` belongs to `order`
    RolloutReport report;
    // When the sends were made that are out, by route.
    std::map<std::string, OpenSends, std::less<>> open;
    std::int64_t sends = 0;              // since the order
    std::int64_t new_version_sends = 0;  // of these, to the new version
  };
  const Rollout* Find(std::string_view service) const;
  const std::map<std::string, Rollout, std::less<>>& All() const {
    return this->rollouts;
  }
  std::int64_t StoreTime(coordination::TimePoint now) const {
    return this->store_clock.At(now);
  }
  bool IsStoreClockFresh(coordination::TimePoint now) const;

 private:
  Rollout* FindRollout(std::string_view service);

  std::map<std::string, Rollout, std::less<>> rollouts;  // by service
  StoreClock store_clock;
  std::int64_t fleet_size = 0;  // 0: not known yet
  std::uint64_t incarnation;    // of this process
};

}  // namespace hornbeamspool::policy
