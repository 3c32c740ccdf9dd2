// Whether the new version of a rollout is shown to be bad, or shown to be good,
// by the VMs' reports, and how many requests it may get before that is decided.
// No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

#include "policy/rollout_report.h"

namespace hornbeamspool::policy {

// Limit on the requests that a bad version may get between the order of a
// rollout and its deadline.
struct ExposureLimit {
  double fraction = 0.1;  // of all requests of the service
  double extra = 50;      // further requests
};

// A report older than this says nothing about the VM's present state.
inline constexpr std::int64_t kMaxReportAgeMs = 2000;

// The counts of all VMs.
struct RolloutTotals {
  std::int64_t sends = 0;
  std::int64_t arrived_sends = 0;
  std::int64_t new_version_sends = 0;
  std::size_t fresh_reports = 0;  // not older than kMaxReportAgeMs
  std::size_t switched_idle = 0;  // VMs with no request at the old version
};
RolloutTotals SumReports(std::span<const RolloutReport> reports,
                         std::int64_t store_ms);

// Whether the new version's answers are significantly more often bad than the
// old one's: on all routes together, on one route, or in one step. An answer is
// bad if it is a failure or takes several times as long as the old version's.
bool IsNewVersionWorse(std::span<const RolloutReport> reports);

// Whether there are enough answers to exclude, with a margin for chance, that
// the new version is bad: on all routes together, and on each route with a
// considerable part of the requests.
bool IsNewVersionProven(std::span<const RolloutReport> reports);

// Whether the same holds for the requests sent after the switch. With few
// answers to these, whether none is overdue.
bool IsProvenAfterSwitch(std::span<const RolloutReport> reports);

// Whether a bad version would stay within the limit if it got all requests for
// `exposed_ms` from now on. `passed_ms` is the time since the order.
bool FitsExposureLimit(const RolloutTotals& totals, const ExposureLimit& limit,
                       std::int64_t passed_ms, std::int64_t exposed_ms);

}  // namespace hornbeamspool::policy
