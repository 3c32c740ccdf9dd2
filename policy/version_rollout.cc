#include "policy/version_rollout.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// The schedule of the canary phase, by the fraction of the time limit that has
// passed. Over the time limit it gives the new version less than the tenth of
// all requests that a bad version may get. The 30 % step shows a version that
// fails under load.
struct CanaryStep {
  double until;     // fraction of the time limit
  double fraction;  // of the requests
};
constexpr std::array<CanaryStep, 4> kCanarySteps{
    {{0.05, 0.0}, {0.30, 0.03}, {0.50, 0.08}, {0.60, 0.30}}};
// The verdict; the requests of the last step have ended by then.
constexpr double kCanaryEnd = 0.65;
constexpr double kFractionAfterLastStep = 0.08;

// Limit of the new version's part of the requests that a VM has sent since the
// order, whatever the schedule says, and the number of requests of the whole
// fleet that it may get beyond that.
constexpr double kMaxCanaryFraction = 0.08;
constexpr std::int64_t kInitialCanarySends = 30;

// A switched rollout completes at this fraction of its time limit, or this long
// before its deadline if that is earlier, even if the old version still has
// requests in flight. The margin covers the driver's interval of half a second
// and one write to the store.
constexpr double kLatestEnd = 0.95;
constexpr std::int64_t kEndMarginMs = 1200;

// A VM that got no answer of the store for this long sends nothing to a canary:
// the rollout may have been rolled back.
constexpr Duration kStoreClockMaxAge = std::chrono::milliseconds(2500);

// What makes a version significantly worse: a minimum of answers, a minimum
// difference of the failure rates or ratio of the response times, and a minimum
// difference in standard deviations.
constexpr std::int64_t kMinAnswers = 8;
constexpr double kMinRateDifference = 0.1;
constexpr double kMinTimeRatio = 2;
constexpr double kMinDeviations = 3;
// Assumed standard deviation of the logarithm of response times.
constexpr double kLogTimeDeviation = 1;

// Resolution of the fraction that a request id is hashed to.
constexpr std::uint64_t kHashSteps = 1'000'000;

double Rate(const VersionStats& counts) {
  return counts.answers == 0 ? 0
                             : static_cast<double>(counts.failures) /
                                   static_cast<double>(counts.answers);
}

double Inverse(std::int64_t count) {
  return 1 / static_cast<double>(std::max<std::int64_t>(1, count));
}

// What is required to conclude that a version fails more often.
struct FailureThresholds {
  std::int64_t min_answers;
  double min_rate_difference;
  double min_deviations;
};
constexpr FailureThresholds kThresholds{kMinAnswers, kMinRateDifference,
                                        kMinDeviations};
// Stricter, since each step is tested besides the totals: more tests find more
// differences by chance.
constexpr FailureThresholds kStepThresholds{50, kMinRateDifference, 4};

// Compares two binomial proportions with the pooled variance.
bool FailsMoreOften(const RouteStats& stats,
                    const FailureThresholds& thresholds = kThresholds) {
  const auto& [new_version, old_version] = stats;
  if (new_version.answers < thresholds.min_answers) return false;
  const double difference = Rate(new_version) - Rate(old_version);
  if (difference < thresholds.min_rate_difference) return false;
  const double pooled =
      static_cast<double>(new_version.failures + old_version.failures) *
      Inverse(new_version.answers + old_version.answers);
  const double variance =
      pooled * (1 - pooled) *
      (Inverse(new_version.answers) + Inverse(old_version.answers));
  return difference > thresholds.min_deviations * std::sqrt(variance);
}

bool IsSlower(const RouteStats& stats) {
  const auto& [new_version, old_version] = stats;
  const std::int64_t answers =
      std::min(new_version.timed_answers, old_version.timed_answers);
  if (answers < kMinAnswers) return false;
  const double difference =
      new_version.log_ms_sum * Inverse(new_version.timed_answers) -
      old_version.log_ms_sum * Inverse(old_version.timed_answers);
  const double deviation =
      kLogTimeDeviation * std::sqrt(Inverse(new_version.timed_answers) +
                                    Inverse(old_version.timed_answers));
  return difference > std::log(kMinTimeRatio) &&
         difference > kMinDeviations * deviation;
}

double PassedFraction(const RolloutProgress& progress, std::int64_t store_ms) {
  const auto time_limit = static_cast<double>(
      std::max<std::int64_t>(1, progress.deadline_ms - progress.began_ms));
  return static_cast<double>(store_ms - progress.began_ms) / time_limit;
}

}  // namespace

void VersionStats::Add(const VersionStats& other) {
  this->answers += other.answers;
  this->failures += other.failures;
  this->timed_answers += other.timed_answers;
  this->log_ms_sum += other.log_ms_sum;
}

void VersionStats::AddTime(Duration took) {
  ++this->timed_answers;
  const double ms = std::chrono::duration<double, std::milli>(took).count();
  this->log_ms_sum += std::log(std::max(1.0, ms));
}

Duration VersionStats::GeometricMeanTime() const {
  const std::chrono::duration<double, std::milli> ms(
      std::exp(this->log_ms_sum * Inverse(this->timed_answers)));
  return std::chrono::duration_cast<Duration>(ms);
}

RolloutProgress BeginRollout(const RolloutOrder& order, std::int64_t store_ms) {
  RolloutProgress progress;
  progress.order_revision = order.revision;
  progress.version = order.version;
  progress.began_ms = store_ms;
  progress.deadline_ms =
      store_ms + coordination::Milliseconds(order.time_limit);
  return progress;
}

double NewVersionFraction(const RolloutProgress& progress,
                          std::int64_t store_ms) {
  if (progress.phase == RolloutPhase::kRolledBack) return 0;
  if (progress.phase != RolloutPhase::kCanary) return 1;
  const double passed = PassedFraction(progress, store_ms);
  for (const CanaryStep& step : kCanarySteps) {
    if (passed < step.until) return step.fraction;
  }
  return kFractionAfterLastStep;
}

std::int32_t StepAt(const RolloutProgress& progress, std::int64_t store_ms) {
  const double passed = PassedFraction(progress, store_ms);
  std::int32_t index = 0;
  for (const CanaryStep& step : kCanarySteps) {
    if (passed < step.until) return index;
    ++index;
  }
  return passed < kCanaryEnd ? index : index + 1;
}

bool IsNewVersionWorse(std::span<const RolloutReport> reports) {
  std::map<std::string_view, RouteStats> routes;
  RouteStats all;
  std::map<std::int32_t, VersionStats> steps;
  for (const RolloutReport& report : reports) {
    for (const auto& [step, step_stats] : report.new_version_by_step) {
      steps[step].Add(step_stats);
    }
    for (const auto& [route, stats] : report.routes) {
      routes[route].new_version.Add(stats.new_version);
      routes[route].old_version.Add(stats.old_version);
      all.new_version.Add(stats.new_version);
      all.old_version.Add(stats.old_version);
    }
  }
  // Response times are compared by route only: those of all routes together
  // depend on the mix of routes.
  if (FailsMoreOften(all)) return true;
  for (const auto& [step, step_stats] : steps) {
    const RouteStats step_and_old{step_stats, all.old_version};
    if (FailsMoreOften(step_and_old, kStepThresholds)) return true;
  }
  return std::any_of(routes.begin(), routes.end(), [](const auto& route) {
    return FailsMoreOften(route.second) || IsSlower(route.second);
  });
}

RolloutPhase NextPhase(const RolloutProgress& progress,
                       std::span<const RolloutReport> reports, std::size_t vms,
                       std::int64_t store_ms) {
  if (IsFinal(progress.phase)) return progress.phase;
  if (IsNewVersionWorse(reports)) return RolloutPhase::kRolledBack;
  const double passed = PassedFraction(progress, store_ms);
  if (progress.phase == RolloutPhase::kCanary) {
    return passed < kCanaryEnd ? RolloutPhase::kCanary
                               : RolloutPhase::kSwitched;
  }
  std::size_t done = 0;
  for (const RolloutReport& report : reports) {
    const bool switched = report.phase == RolloutPhase::kSwitched;
    if (switched && report.old_in_flight == 0) ++done;
  }
  const bool all_done = done >= vms;
  const bool due =
      passed >= kLatestEnd || store_ms >= progress.deadline_ms - kEndMarginMs;
  return all_done || due ? RolloutPhase::kCompleted : RolloutPhase::kSwitched;
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
  for (const auto& [route, stats] : report.routes) {
    own.routes[route].new_version.Add(stats.new_version);
    own.routes[route].old_version.Add(stats.old_version);
    rollout->new_version_sends += stats.new_version.answers;
    rollout->sends += stats.new_version.answers + stats.old_version.answers;
  }
  for (const auto& [step, step_stats] : report.new_version_by_step) {
    own.new_version_by_step[step].Add(step_stats);
  }
}

bool VersionRollouts::IsStoreClockFresh(TimePoint now) const {
  return this->store_clock.UpdatedWithin(kStoreClockMaxAge, now);
}

bool VersionRollouts::UsesNewVersion(std::string_view service,
                                     std::string_view request_id,
                                     TimePoint now) {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr || !rollout->begun) return false;
  const RolloutProgress& progress = rollout->progress;
  if (progress.phase != RolloutPhase::kCanary) {
    return progress.phase != RolloutPhase::kRolledBack;
  }
  if (!this->IsStoreClockFresh(now)) return false;
  const double initial = this->fleet_size == 0
                             ? 0
                             : static_cast<double>(kInitialCanarySends) /
                                   static_cast<double>(this->fleet_size);
  const auto max_sends = static_cast<std::int64_t>(
      kMaxCanaryFraction * static_cast<double>(rollout->sends) + initial);
  if (rollout->new_version_sends >= max_sends) return false;
  const std::uint64_t hash =
      coordination::StableHash(request_id) ^ this->incarnation;
  const double hash_fraction =
      static_cast<double>(hash % kHashSteps) / static_cast<double>(kHashSteps);
  return hash_fraction <
         NewVersionFraction(progress, this->store_clock.At(now));
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
  if (undecided || rolled_back) {
    return is_new == use_new_version ? Eligibility::kPreferred
                                     : Eligibility::kAllowed;
  }
  return is_new ? Eligibility::kPreferred : Eligibility::kAllowed;
}

std::uint64_t VersionRollouts::OnSent(const Send& send) {
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr) return 0;
  ++rollout->sends;
  InFlightSends& in_flight = rollout->in_flight[std::string(send.route)];
  if (send.version == rollout->order.version) {
    ++rollout->new_version_sends;
    in_flight.new_version.insert(send.sent_at);
  } else {
    ++rollout->report.old_in_flight;
    in_flight.old_version.insert(send.sent_at);
  }
  return rollout->order.revision;
}

void VersionRollouts::OnEnded(const EndedSend& ended) {
  const Send& send = ended.send;
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr || ended.revision != rollout->order.revision) return;
  const bool is_new = send.version == rollout->order.version;
  if (!is_new) --rollout->report.old_in_flight;
  InFlightSends& in_flight = rollout->in_flight[std::string(send.route)];
  std::multiset<TimePoint>& times =
      is_new ? in_flight.new_version : in_flight.old_version;
  if (const auto found = times.find(send.sent_at); found != times.end()) {
    times.erase(found);
  }
  if (ended.outcome == Outcome::kNotRun) return;
  RouteStats& stats = rollout->report.routes[std::string(send.route)];
  VersionStats& counts = is_new ? stats.new_version : stats.old_version;
  const Duration took = ended.ended_at - send.sent_at;
  if (ended.outcome == Outcome::kAbandoned) {
    const bool overdue = stats.old_version.timed_answers > 0 &&
                         took > stats.old_version.GeometricMeanTime();
    if (overdue) counts.AddTime(took);
    return;
  }
  const bool failed = ended.outcome == Outcome::kFailed;
  ++counts.answers;
  if (failed) ++counts.failures;
  if (!failed) counts.AddTime(took);
  if (!is_new) return;
  VersionStats& step = rollout->report.new_version_by_step[StepAt(
      rollout->progress, this->store_clock.At(send.sent_at))];
  ++step.answers;
  if (failed) ++step.failures;
}

RolloutReport VersionRollouts::ReportAt(std::string_view service,
                                        TimePoint now) const {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr) return {};
  RolloutReport report = rollout->report;
  const auto add_overdue = [now](const std::multiset<TimePoint>& in_flight,
                                 Duration mean, VersionStats& counts) {
    for (const TimePoint sent_at : in_flight) {
      if (now - sent_at <= mean) break;
      counts.AddTime(now - sent_at);
    }
  };
  for (const auto& [route, in_flight] : rollout->in_flight) {
    RouteStats& stats = report.routes[route];
    if (stats.old_version.timed_answers == 0) continue;
    const Duration mean = stats.old_version.GeometricMeanTime();
    add_overdue(in_flight.new_version, mean, stats.new_version);
    add_overdue(in_flight.old_version, mean, stats.old_version);
  }
  return report;
}

}  // namespace hornbeamspool::policy
