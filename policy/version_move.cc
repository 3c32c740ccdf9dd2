#include "policy/version_move.h"

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
struct TrialStep {
  double until;  // part of the allowed time
  double share;  // of the requests
};
constexpr std::array<TrialStep, 4> kTrial{
    {{0.05, 0.0}, {0.30, 0.03}, {0.50, 0.08}, {0.60, 0.30}}};
constexpr double kTrialEnd = 0.65;  // the verdict; what was sent has ended
constexpr double kAfterTrial = 0.08;

// Whatever the schedule says, the new version gets no larger part of a VM's
// requests since the order, and a few at first.
constexpr double kMostShare = 0.08;
constexpr std::int64_t kFirstSends = 30;  // of the whole fleet

// A move ends by this part of its time, and so long before its deadline, even
// if the old version still works: the driver looks twice a second, and its
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

double Rate(const VersionCounts& counts) {
  return counts.answers == 0 ? 0
                             : static_cast<double>(counts.bad) /
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

bool FailsMoreOften(const RouteEvidence& evidence,
                    const Proof& proof = kWholeProof) {
  const VersionCounts& moved = evidence.moved;
  const VersionCounts& kept = evidence.kept;
  if (moved.answers < proof.least_answers) return false;
  const double difference = Rate(moved) - Rate(kept);
  if (difference < proof.worse_rate) return false;
  const double common = static_cast<double>(moved.bad + kept.bad) *
                        Inverse(moved.answers + kept.answers);
  const double variance =
      common * (1 - common) * (Inverse(moved.answers) + Inverse(kept.answers));
  return difference > proof.deviations * std::sqrt(variance);
}

bool IsSlower(const RouteEvidence& evidence) {
  const VersionCounts& moved = evidence.moved;
  const VersionCounts& kept = evidence.kept;
  if (std::min(moved.timed, kept.timed) < kLeastAnswers) return false;
  const double difference =
      moved.log_ms * Inverse(moved.timed) - kept.log_ms * Inverse(kept.timed);
  const double deviation =
      kTimeDeviation * std::sqrt(Inverse(moved.timed) + Inverse(kept.timed));
  return difference > std::log(kSlower) && difference > kDeviations * deviation;
}

double PassedPart(const MoveProgress& progress, std::int64_t store_ms) {
  const auto allowed = static_cast<double>(
      std::max<std::int64_t>(1, progress.deadline_ms - progress.began_ms));
  return static_cast<double>(store_ms - progress.began_ms) / allowed;
}

}  // namespace

void VersionCounts::Add(const VersionCounts& other) {
  this->answers += other.answers;
  this->bad += other.bad;
  this->timed += other.timed;
  this->log_ms += other.log_ms;
}

void VersionCounts::AddTime(Duration took) {
  ++this->timed;
  const double ms = std::chrono::duration<double, std::milli>(took).count();
  this->log_ms += std::log(std::max(1.0, ms));
}

Duration VersionCounts::TypicalTime() const {
  const std::chrono::duration<double, std::milli> ms(
      std::exp(this->log_ms * Inverse(this->timed)));
  return std::chrono::duration_cast<Duration>(ms);
}

MoveProgress BeginMove(const MoveOrder& order, std::int64_t store_ms) {
  MoveProgress progress;
  progress.order_revision = order.revision;
  progress.version = order.version;
  progress.began_ms = store_ms;
  progress.deadline_ms = store_ms + coordination::Milliseconds(order.allowed);
  return progress;
}

double MovedShare(const MoveProgress& progress, std::int64_t store_ms) {
  if (progress.phase == MovePhase::kTakenBack) return 0;
  if (progress.phase != MovePhase::kTrial) return 1;
  const double passed = PassedPart(progress, store_ms);
  for (const TrialStep& step : kTrial) {
    if (passed < step.until) return step.share;
  }
  return kAfterTrial;
}

std::int32_t StepAt(const MoveProgress& progress, std::int64_t store_ms) {
  const double passed = PassedPart(progress, store_ms);
  std::int32_t index = 0;
  for (const TrialStep& step : kTrial) {
    if (passed < step.until) return index;
    ++index;
  }
  return passed < kTrialEnd ? index : index + 1;
}

bool IsVersionBad(std::span<const MoveReport> reports) {
  std::map<std::string_view, RouteEvidence> routes;
  RouteEvidence all;
  std::map<std::int32_t, VersionCounts> steps;
  for (const MoveReport& report : reports) {
    for (const auto& [step, moved] : report.moved_by_step) {
      steps[step].Add(moved);
    }
    for (const auto& [route, evidence] : report.routes) {
      routes[route].moved.Add(evidence.moved);
      routes[route].kept.Add(evidence.kept);
      all.moved.Add(evidence.moved);
      all.kept.Add(evidence.kept);
    }
  }
  // Times of all routes together tell of their mix, not of the version.
  if (FailsMoreOften(all)) return true;
  for (const auto& [step, moved] : steps) {
    if (FailsMoreOften({moved, all.kept}, kStepProof)) return true;
  }
  return std::any_of(routes.begin(), routes.end(), [](const auto& route) {
    return FailsMoreOften(route.second) || IsSlower(route.second);
  });
}

MovePhase NextPhase(const MoveProgress& progress,
                    std::span<const MoveReport> reports, std::size_t vms,
                    std::int64_t store_ms) {
  if (IsFinal(progress.phase)) return progress.phase;
  if (IsVersionBad(reports)) return MovePhase::kTakenBack;
  const double passed = PassedPart(progress, store_ms);
  if (progress.phase == MovePhase::kTrial) {
    return passed < kTrialEnd ? MovePhase::kTrial : MovePhase::kSwitched;
  }
  std::size_t done = 0;
  for (const MoveReport& report : reports) {
    const bool switched = report.phase == MovePhase::kSwitched;
    if (switched && report.kept_in_flight == 0) ++done;
  }
  const bool all_done = done >= vms;
  const bool due =
      passed >= kLatestEnd || store_ms >= progress.deadline_ms - kEndMarginMs;
  return all_done || due ? MovePhase::kCompleted : MovePhase::kSwitched;
}

VersionMoves::Move* VersionMoves::FindMove(std::string_view service) {
  const auto found = this->moves.find(service);
  return found == this->moves.end() ? nullptr : &found->second;
}

const VersionMoves::Move* VersionMoves::Find(std::string_view service) const {
  const auto found = this->moves.find(service);
  return found == this->moves.end() ? nullptr : &found->second;
}

void VersionMoves::SetOrder(MoveOrder order) {
  Move& move = this->moves[order.service];
  if (order.revision <= move.order.revision) return;
  Move next;
  next.order = std::move(order);
  next.report.order_revision = next.order.revision;
  next.report.incarnation = this->incarnation;
  // Progress may have come before the order that it belongs to.
  const MoveProgress known = std::move(move.progress);
  move = std::move(next);
  this->SetProgress(move.order.service, known);
}

void VersionMoves::RemoveOrder(std::string_view service) {
  const auto found = this->moves.find(service);
  if (found != this->moves.end()) this->moves.erase(found);
}

void VersionMoves::SetProgress(std::string_view service,
                               const MoveProgress& progress) {
  Move& move = this->moves[std::string(service)];
  if (progress.order_revision < move.order.revision) return;
  move.progress = progress;
  move.begun = progress.order_revision != 0 &&
               progress.order_revision == move.order.revision;
  move.report.phase = progress.phase;
}

void VersionMoves::Inherit(std::string_view service, const MoveReport& report) {
  Move* move = this->FindMove(service);
  if (move == nullptr) return;
  MoveReport& own = move->report;
  const bool older = report.order_revision == own.order_revision &&
                     report.incarnation != own.incarnation;
  if (!older) return;
  for (const auto& [route, evidence] : report.routes) {
    own.routes[route].moved.Add(evidence.moved);
    own.routes[route].kept.Add(evidence.kept);
    move->moved_sends += evidence.moved.answers;
    move->sends += evidence.moved.answers + evidence.kept.answers;
  }
  for (const auto& [step, moved] : report.moved_by_step) {
    own.moved_by_step[step].Add(moved);
  }
}

bool VersionMoves::StoreKnown(TimePoint now) const {
  return this->store_clock.UpdatedWithin(kHeardLately, now);
}

bool VersionMoves::TakesPart(std::string_view service,
                             std::string_view request_id, TimePoint now) {
  const Move* move = this->Find(service);
  if (move == nullptr || !move->begun) return false;
  const MoveProgress& progress = move->progress;
  if (progress.phase != MovePhase::kTrial) {
    return progress.phase != MovePhase::kTakenBack;
  }
  if (!this->StoreKnown(now)) return false;
  const double first = this->fleet_size == 0
                           ? 0
                           : static_cast<double>(kFirstSends) /
                                 static_cast<double>(this->fleet_size);
  const auto most = static_cast<std::int64_t>(
      kMostShare * static_cast<double>(move->sends) + first);
  if (move->moved_sends >= most) return false;
  const double point =
      static_cast<double>(
          (coordination::StableHash(request_id) ^ this->incarnation) %
          kHashSteps) /
      static_cast<double>(kHashSteps);
  return point < MovedShare(progress, this->store_clock.At(now));
}

VersionMoves::Fit VersionMoves::FitOf(std::string_view service,
                                      std::string_view version,
                                      bool takes_part) const {
  const Move* move = this->Find(service);
  if (move == nullptr || move->order.revision == 0) return Fit::kPreferred;
  const bool moved = version == move->order.version;
  const bool undecided =
      !move->begun || move->progress.phase == MovePhase::kTrial;
  const bool taken_back =
      move->begun && move->progress.phase == MovePhase::kTakenBack;
  if (moved && taken_back) return Fit::kForbidden;
  if (moved && undecided && !takes_part) return Fit::kForbidden;
  if (undecided || taken_back) {
    return moved == takes_part ? Fit::kPreferred : Fit::kAllowed;
  }
  return moved ? Fit::kPreferred : Fit::kAllowed;
}

std::uint64_t VersionMoves::OnSent(const Send& send) {
  Move* move = this->FindMove(send.service);
  if (move == nullptr) return 0;
  ++move->sends;
  OpenSends& open = move->open[std::string(send.route)];
  if (send.version == move->order.version) {
    ++move->moved_sends;
    open.moved.insert(send.sent_at);
  } else {
    ++move->report.kept_in_flight;
    open.kept.insert(send.sent_at);
  }
  return move->order.revision;
}

void VersionMoves::OnEnded(const EndedSend& ended) {
  const Send& send = ended.send;
  Move* move = this->FindMove(send.service);
  if (move == nullptr || ended.revision != move->order.revision) return;
  const bool moved = send.version == move->order.version;
  if (!moved) --move->report.kept_in_flight;
  OpenSends& open = move->open[std::string(send.route)];
  std::multiset<TimePoint>& times = moved ? open.moved : open.kept;
  if (const auto found = times.find(send.sent_at); found != times.end()) {
    times.erase(found);
  }
  if (ended.outcome == Outcome::kNotRun) return;
  RouteEvidence& evidence = move->report.routes[std::string(send.route)];
  VersionCounts& counts = moved ? evidence.moved : evidence.kept;
  const Duration took = ended.ended_at - send.sent_at;
  if (ended.outcome == Outcome::kGivenUp) {
    const bool overdue =
        evidence.kept.timed > 0 && took > evidence.kept.TypicalTime();
    if (overdue) counts.AddTime(took);
    return;
  }
  const bool failed = ended.outcome == Outcome::kFailed;
  ++counts.answers;
  if (failed) ++counts.bad;
  if (!failed) counts.AddTime(took);
  if (!moved) return;
  VersionCounts& step = move->report.moved_by_step[StepAt(
      move->progress, this->store_clock.At(send.sent_at))];
  ++step.answers;
  if (failed) ++step.bad;
}

MoveReport VersionMoves::ReportAt(std::string_view service,
                                  TimePoint now) const {
  const Move* move = this->Find(service);
  if (move == nullptr) return {};
  MoveReport report = move->report;
  const auto add_overdue = [now](const std::multiset<TimePoint>& open,
                                 Duration typical, VersionCounts& counts) {
    for (const TimePoint sent_at : open) {
      if (now - sent_at <= typical) break;
      counts.AddTime(now - sent_at);
    }
  };
  for (const auto& [route, open] : move->open) {
    RouteEvidence& evidence = report.routes[route];
    if (evidence.kept.timed == 0) continue;
    const Duration typical = evidence.kept.TypicalTime();
    add_overdue(open.moved, typical, evidence.moved);
    add_overdue(open.kept, typical, evidence.kept);
  }
  return report;
}

}  // namespace hornbeamspool::policy
