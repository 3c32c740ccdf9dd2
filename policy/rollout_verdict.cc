#include "policy/rollout_verdict.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string_view>

namespace hornbeamspool::policy {
namespace {

// An answer is slow if it takes longer than all but this fraction of the old
// version's answers on its route, and this many buckets more than their mean.
constexpr double kSlowFraction = 0.06;
// 2.4 times the mean: cold upstreams take up to 1.6 times as long.
constexpr std::int32_t kSlowBuckets = 5;
static_assert(TimeHistogram::kBucketsPerOctave == 4);

// What is required to conclude that the new version is worse.
struct Thresholds {
  std::int64_t min_answers;
  double min_difference;  // of the fractions of bad answers
  double min_deviations;
};
constexpr Thresholds kThresholds{12, 0.1, 4};
// Stricter, since each step is tested besides the totals: more tests find more
// differences by chance.
constexpr Thresholds kStepThresholds{15, 0.1, 4.5};

// What is required to conclude that the new version is not bad. Its fraction of
// bad answers exceeds the old version's by less than `max_difference`, with
// this many deviations added; and by less than `max_deviations`, which excludes
// smaller differences where there are many answers.
struct ProofThresholds {
  std::int64_t min_answers;
  double max_difference;
  double deviations;
  double max_deviations;
};
constexpr ProofThresholds kProof{16, 0.3, 1.3, 3};
constexpr ProofThresholds kRouteProof{4, 0.45, 1, 4};
constexpr ProofThresholds kSwitchedProof{0, 0.35, 1.3, 3};
// A mean response time that is longer by this factor, as its binary logarithm
// and in deviations, is no proof either: it shows versions that are slower for
// a part of their requests.
constexpr double kMaxMeanShift = 0.6;
constexpr double kMaxMeanShiftDeviations = 2.5;

// Services with few requests: fewer answers are enough.
constexpr double kMinProofFraction = 0.1;  // of all sends
// Routes with a smaller part of the old version's answers are not looked at one
// by one.
constexpr double kMinRouteFraction = 0.15;

// Answers to requests sent after the switch, from which on it may be final.
constexpr std::int64_t kMinSwitchedAnswers = 8;

// The least variance of one answer. Few answers without a bad one prove little.
constexpr double kMinVariance = 0.05;

// Requests may exceed their mean rate by this many deviations of a Poisson
// process; and canary sends that no report holds yet.
constexpr double kRateDeviations = 1.5;
constexpr double kUnreportedFraction = 0.006;  // of all requests
constexpr double kUnreportedSends = 2;

// The count of bad answers is discrete, its assumed distribution is not.
constexpr double kContinuityCorrection = 0.5;

struct BadCount {
  std::int64_t answers = 0;
  std::int64_t bad = 0;
};

// The buckets from which on answers are slow.
struct SlowBuckets {
  std::int32_t time;
  std::int32_t pace;
};

std::int32_t SlowBucket(const TimeHistogram& old_version) {
  // Without a mean to compare with, no answer is slow.
  if (old_version.Total() < kThresholds.min_answers) return INT32_MAX;
  return std::max(old_version.UpperBucket(kSlowFraction),
                  old_version.MeanBucket() + kSlowBuckets);
}

SlowBuckets SlowBucketsOf(const RouteStats& route) {
  return {SlowBucket(route.old_version.times),
          SlowBucket(route.old_version.paces)};
}

BadCount CountBad(const VersionStats& stats, const SlowBuckets& slow) {
  const std::int64_t late = stats.unfinished.CountFrom(slow.time);
  return {stats.answers + late,
          stats.failures + stats.paces.CountFrom(slow.pace) + late};
}

// Compares the fractions of bad answers over several strata, as the
// Mantel-Haenszel test does.
class Comparison {
 public:
  void Add(const BadCount& added, const BadCount& base) {
    const auto n1 = static_cast<double>(added.answers);
    const auto n0 = static_cast<double>(base.answers);
    if (n1 == 0 || n0 == 0) return;
    const auto b1 = static_cast<double>(added.bad);
    const auto b0 = static_cast<double>(base.bad);
    const double total = n1 + n0;
    const double pooled = (b1 + b0) / total;
    this->answers += added.answers;
    this->weight += n1 * n0 / total;
    this->excess += (b1 * n0 - b0 * n1) / total;
    this->variance += n1 * n0 * pooled * (1 - pooled) / total;
  }

  // Of the fractions of bad answers: positive if the new version has more.
  double Difference() const {
    return this->weight == 0 ? 0 : this->excess / this->weight;
  }

  bool IsWorse(const Thresholds& thresholds) const {
    return this->answers >= thresholds.min_answers &&
           this->Difference() >= thresholds.min_difference &&
           this->excess - kContinuityCorrection >
               thresholds.min_deviations * std::sqrt(this->variance);
  }

  bool IsProven(const ProofThresholds& thresholds) const {
    if (this->answers < thresholds.min_answers) return false;
    if (this->answers == 0) return true;
    if (this->weight == 0) return false;
    const double deviation =
        std::sqrt(std::max(this->variance, kMinVariance * this->weight)) /
        this->weight;
    const double difference = this->Difference();
    return difference + thresholds.deviations * deviation <=
               thresholds.max_difference &&
           difference <= thresholds.max_deviations * deviation;
  }

 private:
  std::int64_t answers = 0;  // of the new version
  double weight = 0;
  double excess = 0;
  double variance = 0;
};

// How much longer the new version's mean time for the same work is than the old
// one's, as the binary logarithm of their ratio, over several routes.
class MeanShift {
 public:
  void Add(const TimeHistogram& added, const TimeHistogram& base) {
    const Moments new_version = MomentsOf(added);
    const Moments old_version = MomentsOf(base);
    if (new_version.count < 2 || old_version.count < 2) return;
    const double variance =
        std::max(new_version.variance, old_version.variance) /
            new_version.count +
        old_version.variance / old_version.count;
    if (variance <= 0) return;
    this->weight += 1 / variance;
    this->sum += (new_version.mean - old_version.mean) / variance;
  }

  bool IsLonger() const {
    if (this->weight == 0) return false;
    const double shift = this->sum / this->weight;
    return shift > kMaxMeanShift &&
           shift > kMaxMeanShiftDeviations / std::sqrt(this->weight);
  }

 private:
  // Of binary logarithms.
  struct Moments {
    double count = 0;
    double mean = 0;
    double variance = 0;
  };

  static Moments MomentsOf(const TimeHistogram& histogram) {
    Moments moments;
    double squares = 0;
    for (const auto& [bucket, count] : histogram.counts) {
      const double octaves = (bucket + 0.5) / TimeHistogram::kBucketsPerOctave;
      moments.count += static_cast<double>(count);
      moments.mean += octaves * static_cast<double>(count);
      squares += octaves * octaves * static_cast<double>(count);
    }
    if (moments.count == 0) return moments;
    moments.mean /= moments.count;
    moments.variance = squares / moments.count - moments.mean * moments.mean;
    return moments;
  }

  double weight = 0;  // the inverse of the variance
  double sum = 0;
};

using RouteTotals = std::map<std::string_view, RouteStats>;

RouteTotals SumByRoute(std::span<const RolloutReport> reports) {
  RouteTotals totals;
  for (const RolloutReport& report : reports) {
    for (const auto& [route, steps] : report.routes) {
      for (const auto& [step, stats] : steps) totals[route].Add(stats);
    }
  }
  return totals;
}

struct Comparisons {
  Comparison all;
  std::map<std::string_view, Comparison> routes;
  std::map<std::int32_t, Comparison> steps;
};

Comparisons Compare(std::span<const RolloutReport> reports,
                    const RouteTotals& totals) {
  Comparisons comparisons;
  for (const auto& [route, total] : totals) {
    const SlowBuckets slow = SlowBucketsOf(total);
    const BadCount old_total = CountBad(total.old_version, slow);
    std::map<std::int32_t, VersionStats> new_by_step;
    for (const RolloutReport& report : reports) {
      const auto found = report.routes.find(std::string(route));
      if (found == report.routes.end()) continue;
      for (const auto& [step, stats] : found->second) {
        new_by_step[step].Add(stats.new_version);
        const BadCount added = CountBad(stats.new_version, slow);
        const BadCount base = CountBad(stats.old_version, slow);
        comparisons.all.Add(added, base);
        comparisons.routes[route].Add(added, base);
      }
    }
    // A step by itself is compared with the old version's answers in all steps:
    // after the switch, the old version has none.
    for (const auto& [step, stats] : new_by_step) {
      comparisons.steps[step].Add(CountBad(stats, slow), old_total);
    }
  }
  return comparisons;
}

}  // namespace

RolloutTotals SumReports(std::span<const RolloutReport> reports,
                         std::int64_t store_ms) {
  RolloutTotals totals;
  for (const RolloutReport& report : reports) {
    totals.sends += report.sends;
    totals.arrived_sends += report.arrived_sends;
    totals.new_version_sends += report.new_version_sends;
    if (store_ms - report.reported_ms <= kMaxReportAgeMs) {
      ++totals.fresh_reports;
    }
    const bool switched = report.phase == RolloutPhase::kSwitched;
    if (switched && report.old_in_flight == 0) ++totals.switched_idle;
  }
  return totals;
}

bool IsNewVersionWorse(std::span<const RolloutReport> reports) {
  const RouteTotals totals = SumByRoute(reports);
  const Comparisons comparisons = Compare(reports, totals);
  if (comparisons.all.IsWorse(kThresholds)) return true;
  const auto is_worse = [](const Thresholds& thresholds) {
    return [&thresholds](const auto& entry) {
      return entry.second.IsWorse(thresholds);
    };
  };
  return std::any_of(comparisons.routes.begin(), comparisons.routes.end(),
                     is_worse(kThresholds)) ||
         std::any_of(comparisons.steps.begin(), comparisons.steps.end(),
                     is_worse(kStepThresholds));
}

bool IsNewVersionProven(std::span<const RolloutReport> reports) {
  const RouteTotals totals = SumByRoute(reports);
  const Comparisons comparisons = Compare(reports, totals);
  std::int64_t sends = 0;
  for (const RolloutReport& report : reports) sends += report.sends;
  const auto few = static_cast<std::int64_t>(
      std::ceil(kMinProofFraction * static_cast<double>(sends)));
  ProofThresholds proof = kProof;
  proof.min_answers = std::min(proof.min_answers, few);
  if (!comparisons.all.IsProven(proof)) return false;
  std::int64_t old_answers = 0;
  MeanShift shift;
  for (const auto& [route, total] : totals) {
    old_answers += total.old_version.answers;
    shift.Add(total.new_version.paces, total.old_version.paces);
  }
  if (shift.IsLonger()) return false;
  ProofThresholds route_proof = kRouteProof;
  route_proof.min_answers = std::min(route_proof.min_answers, few / 4);
  return std::all_of(totals.begin(), totals.end(), [&](const auto& entry) {
    const auto& [route, total] = entry;
    const bool is_small = static_cast<double>(total.old_version.answers) <
                          kMinRouteFraction * static_cast<double>(old_answers);
    if (is_small) return true;
    const auto found = comparisons.routes.find(route);
    return found != comparisons.routes.end() &&
           found->second.IsProven(route_proof);
  });
}

bool IsProvenAfterSwitch(std::span<const RolloutReport> reports) {
  const RouteTotals totals = SumByRoute(reports);
  std::int64_t answers = 0;
  std::int64_t overdue = 0;
  for (const RolloutReport& report : reports) {
    for (const auto& [route, steps] : report.routes) {
      const auto after = steps.find(kSwitchedStep);
      if (after == steps.end()) continue;
      const VersionStats& stats = after->second.new_version;
      answers += stats.answers;
      overdue +=
          stats.unfinished.CountFrom(SlowBucketsOf(totals.at(route)).time);
    }
  }
  if (answers < kMinSwitchedAnswers) return overdue == 0;
  return Compare(reports, totals).steps[kSwitchedStep].IsProven(kSwitchedProof);
}

bool FitsExposureLimit(const RolloutTotals& totals, const ExposureLimit& limit,
                       std::int64_t passed_ms, std::int64_t exposed_ms) {
  const auto arrived = static_cast<double>(totals.arrived_sends);
  const double rate = static_cast<double>(totals.sends) /
                      static_cast<double>(std::max<std::int64_t>(1, passed_ms));
  const double further = rate * static_cast<double>(exposed_ms);
  const double margin = kRateDeviations * std::sqrt(further) +
                        kUnreportedSends + kUnreportedFraction * arrived;
  const double exposed =
      static_cast<double>(totals.new_version_sends) + further + margin;
  return exposed <= limit.fraction * (arrived + further) + limit.extra;
}

}  // namespace hornbeamspool::policy
