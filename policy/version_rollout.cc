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

// The trial, by the part of the allowed time that has passed. Its sum stays
// under the tenth of all requests that a bad version may get; the steep step
// near its end shows a version that fails under load.
struct CanaryStep {
  double until;  // part of the allowed time
  double share;  // of the requests
};
constexpr std::array<CanaryStep, 4> kCanarySteps{
    {{0.05, 0.0}, {0.30, 0.03}, {0.50, 0.08}, {0.60, 0.30}}};
constexpr double kCanaryEnd = 0.65;  // the verdict; what was sent has ended
constexpr double kAfterLastStep = 0.08;

// Whatever the schedule says, the new version gets no larger part of a VM's
// requests since the order, and a few at first.
constexpr double kMostShare = 0.08;
constexpr std::int64_t kFirstSends = 30;  // of the whole fleet

// A rollout ends by this part of its time, and so long before its deadline,
// even if the old version still works: the driver looks twice a second, and its
// write takes a call of the store.
constexpr double kLatestEnd = 0.95;
constexpr std::int64_t kEndMarginMs = 1200;

// A VM that has not heard of the store for this long takes no part in a trial:
// the verdict may have fallen.
constexpr Duration kHeardLately = std::chrono::milliseconds(2500);

// Evidence against a version: so many answers, a difference of this much in the
// rate of failures or this many times the time, and so many deviations.
constexpr std::int64_t kLeastAnswers = 8;
constexpr double kWorseRate = 0.1;
constexpr double kSlower = 2;
constexpr double kDeviations = 3;
// Of the logarithm of answers' times.
constexpr double kTimeDeviation = 1;

constexpr std::uint64_t kHashSteps = 1'000'000;

double Rate(const VersionStats& counts) {
  return counts.answers == 0 ? 0
                             : static_cast<double>(counts.failures) /
                                   static_cast<double>(counts.answers);
}

double Inverse(std::int64_t count) {
  return 1 / static_cast<double>(std::max<std::int64_t>(1, count));
}

// What it takes to say that a version fails more often.
struct Proof {
  std::int64_t least_answers;
  double worse_rate;
  double deviations;
};
constexpr Proof kWholeProof{kLeastAnswers, kWorseRate, kDeviations};
// One step's answers are looked at many times beside those of others: more is
// asked of them.
constexpr Proof kStepProof{50, kWorseRate, 4};

bool FailsMoreOften(const RouteStats& evidence,
                    const Proof& proof = kWholeProof) {
  const VersionStats& new_version = evidence.new_version;
  const VersionStats& old_version = evidence.old_version;
  if (new_version.answers < proof.least_answers) return false;
  const double difference = Rate(new_version) - Rate(old_version);
  if (difference < proof.worse_rate) return false;
  const double common =
      static_cast<double>(new_version.failures + old_version.failures) *
      Inverse(new_version.answers + old_version.answers);
  const double variance =
      common * (1 - common) *
      (Inverse(new_version.answers) + Inverse(old_version.answers));
  return difference > proof.deviations * std::sqrt(variance);
}

bool IsSlower(const RouteStats& evidence) {
  const VersionStats& new_version = evidence.new_version;
  const VersionStats& old_version = evidence.old_version;
  if (std::min(new_version.timed_answers, old_version.timed_answers) <
      kLeastAnswers)
    return false;
  const double difference =
      new_version.log_ms_sum * Inverse(new_version.timed_answers) -
      old_version.log_ms_sum * Inverse(old_version.timed_answers);
  const double deviation =
      kTimeDeviation * std::sqrt(Inverse(new_version.timed_answers) +
                                 Inverse(old_version.timed_answers));
  return difference > std::log(kSlower) && difference > kDeviations * deviation;
}

double PassedPart(const RolloutProgress& progress, std::int64_t store_ms) {
  const auto allowed = static_cast<double>(
      std::max<std::int64_t>(1, progress.deadline_ms - progress.began_ms));
  return static_cast<double>(store_ms - progress.began_ms) / allowed;
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
  progress.deadline_ms = store_ms + coordination::Milliseconds(order.allowed);
  return progress;
}

double NewVersionFraction(const RolloutProgress& progress,
                          std::int64_t store_ms) {
  if (progress.phase == RolloutPhase::kRolledBack) return 0;
  if (progress.phase != RolloutPhase::kCanary) return 1;
  const double passed = PassedPart(progress, store_ms);
  for (const CanaryStep& step : kCanarySteps) {
    if (passed < step.until) return step.share;
  }
  return kAfterLastStep;
}

std::int32_t StepAt(const RolloutProgress& progress, std::int64_t store_ms) {
  const double passed = PassedPart(progress, store_ms);
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
    for (const auto& [step, moved] : report.new_version_by_step) {
      steps[step].Add(moved);
    }
    for (const auto& [route, evidence] : report.routes) {
      routes[route].new_version.Add(evidence.new_version);
      routes[route].old_version.Add(evidence.old_version);
      all.new_version.Add(evidence.new_version);
      all.old_version.Add(evidence.old_version);
    }
  }
  // Times of all routes together tell of their mix, not of the version.
  if (FailsMoreOften(all)) return true;
  for (const auto& [step, moved] : steps) {
    if (FailsMoreOften({moved, all.old_version}, kStepProof)) return true;
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
  const double passed = PassedPart(progress, store_ms);
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
  // Progress may have come before the order that it belongs to.
  const RolloutProgress known = std::move(rollout.progress);
  rollout = std::move(next);
  this->SetProgress(rollout.order.service, known);
}

void VersionRollouts::RemoveOrder(std::string_view service) {
  const auto found = this->rollouts.find(service);
  if (found != this->rollouts.end()) this->rollouts.erase(found);
}

void VersionRollouts::SetProgress(std::string_view service,
                                  const RolloutProgress& progress) {
  Rollout& rollout = this->rollouts[std::string(service)];
  if (progress.order_revision < rollout.order.revision) return;
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
  const bool older = report.order_revision == own.order_revision &&
                     report.incarnation != own.incarnation;
  if (!older) return;
  for (const auto& [route, evidence] : report.routes) {
    own.routes[route].new_version.Add(evidence.new_version);
    own.routes[route].old_version.Add(evidence.old_version);
    rollout->new_version_sends += evidence.new_version.answers;
    rollout->sends +=
        evidence.new_version.answers + evidence.old_version.answers;
  }
  for (const auto& [step, moved] : report.new_version_by_step) {
    own.new_version_by_step[step].Add(moved);
  }
}

bool VersionRollouts::IsStoreClockFresh(TimePoint now) const {
  return this->store_clock.HeardWithin(kHeardLately, now);
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
  const double first = this->fleet_size == 0
                           ? 0
                           : static_cast<double>(kFirstSends) /
                                 static_cast<double>(this->fleet_size);
  const auto most = static_cast<std::int64_t>(
      kMostShare * static_cast<double>(rollout->sends) + first);
  if (rollout->new_version_sends >= most) return false;
  const double point =
      static_cast<double>(
          (coordination::StableHash(request_id) ^ this->incarnation) %
          kHashSteps) /
      static_cast<double>(kHashSteps);
  return point < NewVersionFraction(progress, this->store_clock.At(now));
}

VersionRollouts::Eligibility VersionRollouts::EligibilityOf(
    std::string_view service, std::string_view version,
    bool use_new_version) const {
  const Rollout* rollout = this->Find(service);
  if (rollout == nullptr || rollout->order.revision == 0)
    return Eligibility::kPreferred;
  const bool moved = version == rollout->order.version;
  const bool undecided =
      !rollout->begun || rollout->progress.phase == RolloutPhase::kCanary;
  const bool taken_back =
      rollout->begun && rollout->progress.phase == RolloutPhase::kRolledBack;
  if (moved && taken_back) return Eligibility::kForbidden;
  if (moved && undecided && !use_new_version) return Eligibility::kForbidden;
  if (undecided || taken_back) {
    return moved == use_new_version ? Eligibility::kPreferred
                                    : Eligibility::kAllowed;
  }
  return moved ? Eligibility::kPreferred : Eligibility::kAllowed;
}

std::uint64_t VersionRollouts::OnSent(const Send& send) {
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr) return 0;
  ++rollout->sends;
  OpenSends& open = rollout->open[std::string(send.route)];
  if (send.version == rollout->order.version) {
    ++rollout->new_version_sends;
    open.new_version.insert(send.sent_at);
  } else {
    ++rollout->report.old_in_flight;
    open.old_version.insert(send.sent_at);
  }
  return rollout->order.revision;
}

void VersionRollouts::OnEnded(const EndedSend& ended) {
  const Send& send = ended.send;
  Rollout* rollout = this->FindRollout(send.service);
  if (rollout == nullptr || ended.revision != rollout->order.revision) return;
  const bool moved = send.version == rollout->order.version;
  if (!moved) --rollout->report.old_in_flight;
  OpenSends& open = rollout->open[std::string(send.route)];
  std::multiset<TimePoint>& times = moved ? open.new_version : open.old_version;
  if (const auto found = times.find(send.sent_at); found != times.end()) {
    times.erase(found);
  }
  if (ended.outcome == Outcome::kNotRun) return;
  RouteStats& evidence = rollout->report.routes[std::string(send.route)];
  VersionStats& counts = moved ? evidence.new_version : evidence.old_version;
  const Duration took = ended.ended_at - send.sent_at;
  if (ended.outcome == Outcome::kGivenUp) {
    const bool overdue = evidence.old_version.timed_answers > 0 &&
                         took > evidence.old_version.GeometricMeanTime();
    if (overdue) counts.AddTime(took);
    return;
  }
  const bool failed = ended.outcome == Outcome::kFailed;
  ++counts.answers;
  if (failed) ++counts.failures;
  if (!failed) counts.AddTime(took);
  if (!moved) return;
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
  const auto add_overdue = [now](const std::multiset<TimePoint>& open,
                                 Duration typical, VersionStats& counts) {
    for (const TimePoint sent_at : open) {
      if (now - sent_at <= typical) break;
      counts.AddTime(now - sent_at);
    }
  };
  for (const auto& [route, open] : rollout->open) {
    RouteStats& evidence = report.routes[route];
    if (evidence.old_version.timed_answers == 0) continue;
    const Duration typical = evidence.old_version.GeometricMeanTime();
    add_overdue(open.new_version, typical, evidence.new_version);
    add_overdue(open.old_version, typical, evidence.old_version);
  }
  return report;
}

}  // namespace hornbeamspool::policy
