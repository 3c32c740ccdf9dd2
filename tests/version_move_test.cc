// Tests of version rollouts: how many requests a canary gets, and how rollouts
// end.
#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <string>
#include <vector>

#include "policy/version_rollout.h"
#include "tests/rollout_fleet.h"

namespace hornbeamspool::policy {
namespace {

using Outcome = VersionRollouts::Outcome;

// The required bound on the requests that a bad version gets: a tenth of all
// until the deadline, and 50.
bool IsExposureBounded(const FleetOutcome& outcome) {
  return outcome.new_version_requests <= outcome.requests / 10 + 50;
}

TEST_CASE("the rollout of a good version completes in time") {
  for (const std::size_t vms : {1, 7, 79}) {
    const FleetOutcome outcome = Fleet(vms).Run(Good(), 300);
    CHECK(outcome.phase == RolloutPhase::kCompleted);
    CHECK(outcome.ended_after < 20);
  }
}

TEST_CASE("a good version is not rolled back by chance") {
  constexpr std::uint32_t kSeeds = 100;
  Behaviour good = Good();
  for (const double median_ms : {200.0, 1'500.0}) {
    good.median_ms = median_ms;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      const FleetOutcome outcome = Fleet(7, 8'000, seed).Run(good, 100);
      CHECK(outcome.phase == RolloutPhase::kCompleted);
    }
  }
}

TEST_CASE(
    "a version that fails from the start is rolled back after few requests") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double, int) { return 0.4; };
  for (const std::size_t vms : {1, 7, 79}) {
    const FleetOutcome outcome = Fleet(vms).Run(bad, 300);
    CHECK(outcome.phase == RolloutPhase::kRolledBack);
    CHECK(IsExposureBounded(outcome));
    CHECK(outcome.new_version_requests < 200);
    CHECK(outcome.new_version_late == 0);
  }
}

TEST_CASE("a version that answers several times slower is rolled back") {
  Behaviour slow = Good();
  slow.slowdown = [](double, double, int) { return 4.0; };
  const FleetOutcome outcome = Fleet(7).Run(slow, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

// A version so slow that few of its answers came before the verdict used to
// look good, and got all requests.
TEST_CASE("a version that answers too late for the verdict is rolled back") {
  constexpr std::int64_t kShortMs = 8'000;
  Behaviour slow = Good();
  slow.slowdown = [](double, double, int) { return 12.0; };
  slow.median_ms = 1'000;
  slow.caller_timeout_ms = 4'000;
  for (const std::uint32_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CAPTURE(seed);
    const FleetOutcome outcome = Fleet(7, kShortMs, seed).Run(slow, 100);
    CHECK(outcome.phase == RolloutPhase::kRolledBack);
    CHECK(IsExposureBounded(outcome));
  }
}

TEST_CASE("a version that fails on one route only is rolled back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double, int route) {
    return route == 1 ? 0.3 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("a version that fails after a while is rolled back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double second, double, int) {
    return second > 8 ? 0.4 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("a version that fails under load is rolled back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double fraction, int) {
    return fraction > 0.15 ? 0.5 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("failures that both versions share cause no rollback") {
  std::vector<RolloutReport> reports(1);
  reports[0].routes["lookup"][0] = {{100, 20, {}, {}, {}},
                                    {1'000, 160, {}, {}, {}}};
  CHECK_FALSE(IsNewVersionWorse(reports));
}

// What a VM had observed of a bad version used to be lost when its process was
// killed.
TEST_CASE("a restarted VM continues its predecessor's report") {
  const VersionRollouts::Send send{"llm", "lookup", "v2", At(0)};
  VersionRollouts before(1);
  before.SetOrder(Order());
  for (int i = 0; i < 10; ++i) {
    VersionRollouts::EndedSend ended;
    ended.send = send;
    ended.revision = before.OnSent(send);
    ended.outcome = Outcome::kFailed;
    ended.ended_at = At(100);
    before.OnEnded(ended);
  }
  const RolloutReport previous = before.ReportAt("llm", At(200));
  VersionRollouts after(2);
  after.SetOrder(Order());
  after.MergePredecessorReport("llm", previous);
  const RolloutReport report = after.ReportAt("llm", At(200));
  CHECK(report.routes.at("lookup").at(0).new_version.failures == 10);
  CHECK(report.new_version_sends == 10);
  // Its own report, found in the store after a write of unknown outcome, is not
  // added again.
  after.MergePredecessorReport("llm", report);
  CHECK(after.ReportAt("llm", At(200))
            .routes.at("lookup")
            .at(0)
            .new_version.failures == 10);
}

TEST_CASE("the new version gets no requests before the rollout has begun") {
  VersionRollouts rollouts(1);
  rollouts.SetOrder(Order());
  CHECK_FALSE(rollouts.UsesNewVersion("llm", "lookup", At(0)));
  CHECK(rollouts.EligibilityOf("llm", "v2", false) ==
        VersionRollouts::Eligibility::kForbidden);
  CHECK(rollouts.EligibilityOf("llm", "v1", false) ==
        VersionRollouts::Eligibility::kPreferred);
  CHECK(rollouts.EligibilityOf("other", "v2", false) ==
        VersionRollouts::Eligibility::kPreferred);
}

TEST_CASE("a VM that can't reach the store sends nothing to the canary") {
  VersionRollouts rollouts(1);
  rollouts.SetFleetSize(1);
  rollouts.SetOrder(Order());
  rollouts.SetProgress("llm", BeginRollout(Order(), kBeganMs));
  rollouts.SetStoreClock(kBeganMs + 11'000, At(0));
  const auto canary_requests = [&](std::int64_t ms) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      count += rollouts.UsesNewVersion("llm", "lookup", At(ms)) ? 1 : 0;
    }
    return count;
  };
  CHECK(canary_requests(0) > 0);
  CHECK(canary_requests(3'000) == 0);
}

TEST_CASE("progress and orders that are outdated are ignored") {
  VersionRollouts rollouts(1);
  rollouts.SetOrder(Order());
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  progress.phase = RolloutPhase::kRolledBack;
  rollouts.SetProgress("llm", progress);
  RolloutOrder next = Order();
  next.revision = 9;
  next.version = "v3";
  rollouts.SetOrder(next);
  CHECK_FALSE(rollouts.Find("llm")->begun);
  rollouts.SetOrder(Order());
  CHECK(rollouts.Find("llm")->order.version == "v3");
  rollouts.SetProgress("llm", progress);
  CHECK_FALSE(rollouts.Find("llm")->begun);
}

// Short rollouts used to miss their deadline: what was left of the time limit
// was shorter than a driver's interval and its write.
TEST_CASE("a short rollout ends in time though the old version is still busy") {
  constexpr std::int64_t kShortMs = 8'000;
  constexpr std::int64_t kIntervalAndWriteMs = 650;
  RolloutProgress progress = BeginRollout(Order(kShortMs), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  std::vector<RolloutReport> reports(1);
  reports[0].phase = RolloutPhase::kSwitched;
  reports[0].old_in_flight = 3;
  CHECK(NextPhase(progress, reports, 1, {}, kBeganMs + kShortMs / 2) ==
        RolloutPhase::kSwitched);
  CHECK(NextPhase(progress, reports, 1, {},
                  kBeganMs + kShortMs - kIntervalAndWriteMs) ==
        RolloutPhase::kCompleted);
}

TEST_CASE(
    "a rollout completes when the old version has no requests in flight") {
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  std::vector<RolloutReport> reports(2);
  for (RolloutReport& report : reports) report.phase = RolloutPhase::kSwitched;
  reports[1].old_in_flight = 3;
  const std::int64_t at = kBeganMs + 14'000;
  CHECK(NextPhase(progress, reports, 2, {}, at) == RolloutPhase::kSwitched);
  reports[1].old_in_flight = 0;
  CHECK(NextPhase(progress, reports, 2, {}, at) == RolloutPhase::kCompleted);
  // A VM that has not reported the switch may still send to the old version.
  CHECK(NextPhase(progress, reports, 3, {}, at) == RolloutPhase::kSwitched);
  CHECK(NextPhase(progress, reports, 3, {}, kBeganMs + 19'350) ==
        RolloutPhase::kCompleted);
}

// A store that came back from an older copy used to undo a rollout's outcome.
TEST_CASE("a rollout does not go back to an earlier phase") {
  VersionRollouts rollouts(1);
  rollouts.SetOrder(Order());
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  for (const RolloutPhase outcome :
       {RolloutPhase::kSwitched, RolloutPhase::kCompleted}) {
    RolloutProgress older = progress;
    progress.phase = outcome;
    rollouts.SetProgress("llm", progress);
    rollouts.SetProgress("llm", older);
    CHECK(rollouts.Find("llm")->progress.phase == outcome);
  }
  progress.phase = RolloutPhase::kRolledBack;
  rollouts.SetProgress("llm", progress);
  CHECK(rollouts.Find("llm")->progress.phase == RolloutPhase::kCompleted);
}

}  // namespace
}  // namespace hornbeamspool::policy
