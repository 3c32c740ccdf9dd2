#include "policy/version_rollout.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// The canary phase: by the fraction of the time limit that has passed, when the
// new version gets its first requests, and when it may have got all that
// ExposureLimit::extra allows it. Spread over time, they also show a version
// that turns bad after a while.
constexpr double kCanaryBegin = 0.05;
constexpr double kCanaryExtraEnd = 0.6;
// Then a load step, in which the new version gets this fraction of the
// requests: some faults show only under load.
constexpr double kLoadBegin = 0.75;
constexpr double kLoadEnd = 0.86;
constexpr double kLoadFraction = 0.2;
// What the canary phase leaves of the limit: all requests for this time.
constexpr double kSwitchReserveMs = 1050;
// The earliest verdict for the new version.
constexpr double kEarliestSwitch = kLoadEnd;

// What the canary phase uses of both parts of the limit. The rest is for the
// requests after the switch.
constexpr double kCanaryFractionUse = 0.2;
constexpr double kCanaryExtraUse = 0.6;

// A switched rollout ends this long before its deadline, even if the old
// version still has requests in flight: an interval of the driver, a write,
// and the time until the operator has read it.
constexpr std::int64_t kEndMarginMs = 650;

// A rollout that has not switched by then is rolled back: until the end, VMs
// must report answers to requests that were sent after the switch.
constexpr std::int64_t kMinSwitchedMs = 600;

// Intervals are short while this much time is left, and after the switch.
constexpr std::int64_t kDecisionNearMs = 3000;

// A VM that got no answer of the store for this long sends nothing to a canary:
// the rollout may have been rolled back.
constexpr Duration kStoreClockMaxAge = std::chrono::milliseconds(2500);

// A send that has been in flight for less than this is counted as arrived. One
// that takes longer may hang in a network partition.
constexpr Duration kAssumedArrived = std::chrono::milliseconds(1500);

// The first event of a stream takes longer, since the prompt is read before it:
// about as long as this many further ones.
constexpr std::int64_t kFirstEventUnits = 2;

// Resolution of a fraction that is hashed.
constexpr std::uint64_t kHashSteps = 1'000'000;

double TimeLimitMs(const RolloutProgress& progress) {
  return static_cast<double>(
      std::max<std::int64_t>(1, progress.deadline_ms - progress.began_ms));
}

double PassedFraction(const RolloutProgress& progress, std::int64_t store_ms) {
  return static_cast<double>(store_ms - progress.began_ms) /
         TimeLimitMs(progress);
}

}  // namespace

RolloutProgress BeginRollout(const RolloutOrder& order, std::int64_t store_ms) {
  RolloutProgress progress;
  progress.order_revision = order.revision;
  progress.version = order.version;
  progress.began_ms = store_ms;
  progress.deadline_ms =
      store_ms + coordination::Milliseconds(order.time_limit);
  return progress;
}

RolloutPhase NextPhase(const RolloutProgress& progress,
                       std::span<const RolloutReport> reports, std::size_t vms,
                       const ExposureLimit& limit, std::int64_t store_ms) {
  if (IsFinal(progress.phase)) return progress.phase;
  if (IsNewVersionWorse(reports)) return RolloutPhase::kRolledBack;
  const RolloutTotals totals = SumReports(reports, store_ms);
  const std::int64_t left_ms = progress.deadline_ms - store_ms;
  if (progress.phase == RolloutPhase::kCanary) {
    if (left_ms < kMinSwitchedMs) return RolloutPhase::kRolledBack;
    const bool may_switch =
        PassedFraction(progress, store_ms) >= kEarliestSwitch &&
        2 * totals.fresh_reports >= vms &&
        FitsExposureLimit(totals, limit, store_ms - progress.began_ms,
                          left_ms) &&
        IsNewVersionProven(reports);
    return may_switch ? RolloutPhase::kSwitched : RolloutPhase::kCanary;
  }
  const bool due = left_ms <= kEndMarginMs;
  const bool all_done = totals.switched_idle >= vms;
  if (!due && !all_done) return RolloutPhase::kSwitched;
  if (IsProvenAfterSwitch(reports)) return RolloutPhase::kCompleted;
  return due ? RolloutPhase::kRolledBack : RolloutPhase::kSwitched;
}

bool IsDecisionNear(const RolloutProgress& progress, std::int64_t store_ms) {
  return progress.phase == RolloutPhase::kSwitched ||
         progress.deadline_ms - store_ms < kDecisionNearMs;
}

VersionRollouts::Rollout* VersionRollouts::FindRollout(
    std::string_view service) {
  const auto found = this->rollouts.find(service);
  return found == this->rollouts.end() ? nullptr : &found->second;
}

const VersionRollouts::Rollout* VersionRollouts::Find(
    std::string_view service) const {
  const auto found = this->rollouts.find(service);
  return found == this->rollouts.end() ? nullptr : &found->second;
}

void VersionRollouts::SetOrder(RolloutOrder order) {
  Rollout& rollout = this->rollouts[order.service];
  if (order.revision <= rollout.order.revision) return;
  Rollout next;
  next.order = std::move(order);
  next.report.order_revision = next.order.revision;
  next.report.incarnation = this->incarnation;
  // The progress may have been read before its order.
  const RolloutProgress known_progress = std::move(rollout.progress);
  rollout = std::move(next);
  this->SetProgress(rollout.order.service, known_progress);
}

void VersionRollouts::RemoveOrder(std::string_view service) {
  const auto found = this->rollouts.find(service);
  if (found != this->rollouts.end()) this->rollouts.erase(found);
}

void VersionRollouts::SetProgress(std::string_view service,
                                  const RolloutProgress& progress) {
  Rollout& rollout = this->rollouts[std::string(service)];
  if (progress.order_revision < rollout.order.revision) return;
  // A restored store may hold an earlier phase.
  const bool same_order = rollout.begun && rollout.progress.order_revision ==
                                               progress.order_revision;
  if (same_order && IsBehind(progress.phase, rollout.progress.phase)) return;
  rollout.progress = progress;
  rollout.begun = progress.order_revision != 0 &&
                  progress.order_revision == rollout.order.revision;
  rollout.report.phase = progress.phase;
}

void VersionRollouts::MergePredecessorReport(std::string_view service,
                                             const RolloutReport& report) {
  Rollout* rollout = this->FindRollout(service);
  if (rollout == nullptr) return;
  RolloutReport& own = rollout->report;
  const bool from_predecessor = report.order_revision == own.order_revision &&
                                report.incarnation != own.incarnation;
  if (!from_predecessor) return;
  own.sends += report.sends;
  own.arrived_sends += report.arrived_sends;
  own.new_version_sends += report.new_version_sends;
  for (const auto& [route, steps] : report.routes) {
    for (const auto& [step, stats] : steps) own.routes[route][step].Add(stats);
  }
}

bool VersionRollouts::IsStoreClockFresh(TimePoint now) const {
  return this->store_clock.UpdatedWithin(kStoreClockMaxAge, now);
}

std::int64_t VersionRollouts::CanaryQuota(const Rollout& rollout,
                                          TimePoint now) const {
  const double passed =
      PassedFraction(rollout.progress, this->store_clock.At(now));
  if (this->fleet_size == 0 || passed < kCanaryBegin) return 0;
  const auto arrived = static_cast<double>(rollout.report.arrived_sends +
                                           rollout.sends_in_flight);
  const auto vms = static_cast<double>(this->fleet_size);
  double quota = kCanaryExtraUse * this->limit.extra *
                     std::min(1.0, passed / kCanaryExtraEnd) / vms +
                 kCanaryFractionUse * this->limit.fraction * arrived;
  if (rollout.arrived_before_load) {
    quota += kLoadFraction *
             (arrived - static_cast<double>(*rollout.arrived_before_load));
  }
  // This VM's part of the limit, less what its requests after the switch need.
  const double sends_per_ms = static_cast<double>(rollout.report.sends) /
                              (passed * TimeLimitMs(rollout.progress));
  const double available = this->limit.fraction * arrived / passed +
                           this->limit.extra / vms -
                           sends_per_ms * kSwitchReserveMs;
  quota = std::clamp(quota, 0.0, std::max(0.0, available));
  // Each VM rounds at a point of its own, so that the parts of many VMs don't
  // all round to none.
  const std::uint64_t hash = coordination::StableHash(rollout.order.version) ^
                             (this->incarnation * kHashSteps + 1);
  const double rounding =
      static_cast<double>(hash % kHashSteps) / static_cast<double>(kHashSteps);
  return static_cast<std::int64_t>(quota + rounding);
}

// The canary requests are spread over the routes as all requests are, so that
// there are answers to compare on each.
bool VersionRollouts::MaySendCanary(const Rollout& rollout,
                                    std::string_view route,
                                    TimePoint now) const {
  const std::int64_t quota = this->CanaryQuota(rollout, now);
  if (rollout.report.new_version_sends >= quota) return false;
  const auto found = rollout.by_route.find(route);
  if (found == rollout.by_route.end()) return true;
  const RouteSends& sends = found->second;
  return sends.to_new_version * rollout.report.sends <= quota * sends.all;
}

bool VersionRollouts::UsesNewVersion(std::string_view service,
                                     std::string_view route,
                                     TimePoint now) const {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr || !rollout->begun) return false;
  switch (rollout->progress.phase) {
    case RolloutPhase::kCompleted:
      return true;
    case RolloutPhase::kSwitched:
      // The rollout may have been rolled back meanwhile.
      return this->IsStoreClockFresh(now);
    case RolloutPhase::kCanary:
      return this->IsStoreClockFresh(now) &&
             this->MaySendCanary(*rollout, route, now);
    default:
      return false;
  }
}

VersionRollouts::Eligibility VersionRollouts::EligibilityOf(
    std::string_view service, std::string_view version,
    bool use_new_version) const {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr || rollout->order.revision == 0) {
    return Eligibility::kPreferred;
  }
  const bool is_new = version == rollout->order.version;
  const bool undecided =
      !rollout->begun || rollout->progress.phase == RolloutPhase::kCanary;
  const bool rolled_back =
      rollout->begun && rollout->progress.phase == RolloutPhase::kRolledBack;
  if (is_new && rolled_back) return Eligibility::kForbidden;
  if (is_new && undecided && !use_new_version) return Eligibility::kForbidden;
  const bool completed =
      rollout->begun && rollout->progress.phase == RolloutPhase::kCompleted;
  if (!completed) {
    return is_new == use_new_version ? Eligibility::kPreferred
                                     : Eligibility::kAllowed;
  }
  return is_new ? Eligibility::kPreferred : Eligibility::kAllowed;
}

std::int32_t VersionRollouts::StepOf(const Rollout& rollout,
                                     TimePoint sent_at) const {
  if (!rollout.begun) return 0;
  const bool after_switch =
      rollout.switched_at && sent_at >= *rollout.switched_at;
  if (after_switch) return kSwitchedStep;
  const double passed =
      PassedFraction(rollout.progress, this->store_clock.At(sent_at));
  return std::clamp(static_cast<std::int32_t>(passed * kSwitchedStep), 0,
                    kSwitchedStep - 1);
}

std::uint64_t VersionRollouts::OnSent(const Send& send) {
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr) return 0;
  ++rollout->report.sends;
  ++rollout->sends_in_flight;
  RouteSends& sends = rollout->by_route[std::string(send.route)];
  ++sends.all;
  if (send.version == rollout->order.version) {
    ++rollout->report.new_version_sends;
    ++sends.to_new_version;
    sends.new_version.insert(send.sent_at);
  } else {
    ++rollout->report.old_in_flight;
    sends.old_version.insert(send.sent_at);
  }
  const double passed =
      PassedFraction(rollout->progress, this->store_clock.At(send.sent_at));
  const bool load_begins = !rollout->arrived_before_load && rollout->begun &&
                           passed >= kLoadBegin && passed < kLoadEnd;
  if (load_begins) {
    rollout->arrived_before_load =
        rollout->report.arrived_sends + rollout->sends_in_flight;
  }
  const bool first_after_switch =
      !rollout->switched_at && rollout->begun &&
      rollout->progress.phase == RolloutPhase::kSwitched;
  if (first_after_switch) rollout->switched_at = send.sent_at;
  return rollout->order.revision;
}

void VersionRollouts::OnEnded(const EndedSend& ended) {
  const Send& send = ended.send;
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr || ended.revision != rollout->order.revision) return;
  const bool is_new = send.version == rollout->order.version;
  --rollout->sends_in_flight;
  if (!is_new) --rollout->report.old_in_flight;
  RouteSends& sends = rollout->by_route[std::string(send.route)];
  std::multiset<TimePoint>& times =
      is_new ? sends.new_version : sends.old_version;
  if (const auto found = times.find(send.sent_at); found != times.end()) {
    times.erase(found);
  }
  if (ended.arrived) ++rollout->report.arrived_sends;
  if (ended.outcome == Outcome::kNotRun) return;
  RouteStats& stats =
      rollout->report.routes[std::string(send.route)]
                            [this->StepOf(*rollout, send.sent_at)];
  VersionStats& counts = is_new ? stats.new_version : stats.old_version;
  const Duration took = ended.ended_at - send.sent_at;
  if (ended.outcome == Outcome::kAbandoned) {
    counts.unfinished.Add(took);
    return;
  }
  const bool failed = ended.outcome == Outcome::kFailed;
  ++counts.answers;
  if (failed) ++counts.failures;
  if (failed) return;
  counts.times.Add(took);
  const std::int64_t units =
      ended.events == 0 ? 1 : ended.events + kFirstEventUnits;
  counts.paces.Add(took / units);
}

RolloutReport VersionRollouts::ReportAt(std::string_view service,
                                        TimePoint now) const {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr) return {};
  RolloutReport report = rollout->report;
  report.reported_ms = this->store_clock.At(now);
  for (const auto& [route, sends] : rollout->by_route) {
    auto& steps = report.routes[route];
    const auto add = [&](const std::multiset<TimePoint>& in_flight,
                         VersionStats RouteStats::*version) {
      for (const TimePoint sent_at : in_flight) {
        RouteStats& stats = steps[this->StepOf(*rollout, sent_at)];
        (stats.*version).unfinished.Add(now - sent_at);
        if (now - sent_at < kAssumedArrived) ++report.arrived_sends;
      }
    };
    add(sends.new_version, &RouteStats::new_version);
    add(sends.old_version, &RouteStats::old_version);
  }
  return report;
}

}  // namespace hornbeamspool::policy
