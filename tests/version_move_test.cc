// Tests of version rollouts: how many requests a canary gets, and how rollouts
// end.
#include <doctest/doctest.h>

#include <chrono>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/version_rollout.h"

namespace hornbeamspool::policy {
namespace {

using Outcome = VersionRollouts::Outcome;

constexpr std::int64_t kBeganMs = 100'000;
constexpr std::int64_t kTimeLimitMs = 20'000;

RolloutOrder Order(std::int64_t time_limit_ms = kTimeLimitMs) {
  return {"llm", "v2", std::chrono::milliseconds(time_limit_ms), 7};
}

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// How the new version answers, by the time since the order, its fraction of the
// requests of the last second, and the route.
struct Behaviour {
  std::function<double(double second, double fraction, int route)> failure_rate;
  std::function<double(double second, double fraction, int route)> slowdown;
  double median_ms = 200;  // response time of the old version
  std::int64_t caller_timeout_ms = 60'000;
};

Behaviour Good() {
  const auto none = [](double, double, int) { return 0.0; };
  const auto same = [](double, double, int) { return 1.0; };
  Behaviour good;
  good.failure_rate = none;
  good.slowdown = same;
  return good;
}

struct FleetOutcome {
  RolloutPhase phase = RolloutPhase::kCanary;
  double ended_after = 0;  // seconds
  std::int64_t requests = 0;
  std::int64_t new_version_requests = 0;
  std::int64_t new_version_late = 0;  // more than 2 s after the 50th failure
};

// A fleet of VMs with two routes. Every half second each VM reports and the
// driver decides on the phase.
class Fleet {
 public:
  explicit Fleet(std::size_t vms, std::int64_t time_limit_ms = kTimeLimitMs,
                 std::uint32_t seed = 5)
      : time_limit_ms(time_limit_ms), random(seed) {
    for (std::size_t i = 0; i < vms; ++i) {
      this->vms.emplace_back(i);
      this->vms.back().SetFleetSize(static_cast<std::int64_t>(vms));
      this->vms.back().SetOrder(Order(time_limit_ms));
    }
  }

  FleetOutcome Run(const Behaviour& behaviour, double per_second) {
    FleetOutcome outcome;
    RolloutProgress progress =
        BeginRollout(Order(this->time_limit_ms), kBeganMs);
    std::int64_t failures = 0;
    std::int64_t failing_since = 0;  // time of the 50th
    std::int64_t new_version_before = 0;
    std::int64_t requests_before = 0;
    double fraction = 0;
    for (std::int64_t ms = 0; ms < this->time_limit_ms + 5'000; ms += 10) {
      this->EndSends(ms, failures, failing_since);
      if (ms % 500 == 0) this->Drive(progress, ms);
      if (ms % 1'000 == 0) {
        const auto sent =
            static_cast<double>(outcome.requests - requests_before);
        fraction = sent == 0
                       ? 0
                       : static_cast<double>(outcome.new_version_requests -
                                             new_version_before) /
                             sent;
        new_version_before = outcome.new_version_requests;
        requests_before = outcome.requests;
      }
      const bool ended = progress.phase == RolloutPhase::kCompleted ||
                         progress.phase == RolloutPhase::kRolledBack;
      if (ended && outcome.ended_after == 0) {
        outcome.ended_after = static_cast<double>(ms) / 1'000;
      }
      std::poisson_distribution<int> arrivals(per_second / 100);
      for (int n = arrivals(this->random); n > 0; --n) {
        VersionRollouts& vm = this->vms[this->random() % this->vms.size()];
        const int route = static_cast<int>(this->random() % 2);
        const std::string id = std::to_string(this->random());
        const bool use_new_version = vm.UsesNewVersion("llm", id, At(ms));
        const bool to_new = vm.EligibilityOf("llm", "v2", use_new_version) ==
                            VersionRollouts::Eligibility::kPreferred;
        const std::string version = to_new ? "v2" : "v1";
        if (ms < this->time_limit_ms) {
          ++outcome.requests;
          if (to_new) ++outcome.new_version_requests;
        }
        if (to_new && failing_since != 0 && ms > failing_since + 2'000) {
          ++outcome.new_version_late;
        }
        InFlightSend send;
        send.vm = &vm;
        send.route = "route-" + std::to_string(route);
        send.version = version;
        send.sent_at = At(ms);
        send.ended.revision =
            vm.OnSent({"llm", send.route, version, send.sent_at});
        const double second = static_cast<double>(ms) / 1'000;
        const double rate =
            to_new ? behaviour.failure_rate(second, fraction, route) : 0.02;
        const double slowdown =
            to_new ? behaviour.slowdown(second, fraction, route) : 1;
        std::lognormal_distribution<double> took(std::log(behaviour.median_ms),
                                                 0.8);
        const auto took_ms =
            static_cast<std::int64_t>(took(this->random) * slowdown);
        std::uniform_real_distribution<double> chance(0, 1);
        send.ended.outcome =
            chance(this->random) < rate ? Outcome::kFailed : Outcome::kAnswered;
        if (took_ms > behaviour.caller_timeout_ms) {
          send.ended.outcome = Outcome::kAbandoned;
        }
        this->in_flight.emplace(
            ms + std::min(took_ms, behaviour.caller_timeout_ms),
            std::move(send));
      }
    }
    outcome.phase = progress.phase;
    return outcome;
  }

 private:
  // A send in flight, and how it will end.
  struct InFlightSend {
    VersionRollouts* vm = nullptr;
    std::string route;
    std::string version;
    coordination::TimePoint sent_at{};
    VersionRollouts::EndedSend ended;
  };

  void EndSends(std::int64_t ms, std::int64_t& failures,
                std::int64_t& failing_since) {
    while (!this->in_flight.empty() && this->in_flight.begin()->first <= ms) {
      InFlightSend& send = this->in_flight.begin()->second;
      send.ended.send = {"llm", send.route, send.version, send.sent_at};
      send.ended.ended_at = At(ms);
      send.vm->OnEnded(send.ended);
      const bool failed = send.ended.outcome == Outcome::kFailed;
      if (send.version == "v2" && failed && ++failures == 50) {
        failing_since = ms;
      }
      this->in_flight.erase(this->in_flight.begin());
    }
  }

  void Drive(RolloutProgress& progress, std::int64_t ms) {
    std::vector<RolloutReport> reports;
    for (VersionRollouts& vm : this->vms) {
      reports.push_back(vm.ReportAt("llm", At(ms)));
    }
    progress.phase =
        NextPhase(progress, reports, this->vms.size(), kBeganMs + ms);
    for (VersionRollouts& vm : this->vms) {
      vm.SetStoreClock(kBeganMs + ms, At(ms));
      vm.SetProgress("llm", progress);
    }
  }

  std::int64_t time_limit_ms;
  std::vector<VersionRollouts> vms;
  // By the time of their end.
  std::multimap<std::int64_t, InFlightSend> in_flight;
  std::mt19937_64 random;
};

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
  reports[0].routes["lookup"] = {{100, 20, 80, 400}, {1'000, 160, 840, 4'200}};
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
  CHECK(report.routes.at("lookup").new_version.failures == 10);
  CHECK(after.Find("llm")->new_version_sends == 10);
  // Its own report, found in the store after a write of unknown outcome, is not
  // added again.
  after.MergePredecessorReport("llm", report);
  CHECK(
      after.ReportAt("llm", At(200)).routes.at("lookup").new_version.failures ==
      10);
}

TEST_CASE("the new version gets no requests before the rollout has begun") {
  VersionRollouts rollouts(1);
  rollouts.SetOrder(Order());
  CHECK_FALSE(rollouts.UsesNewVersion("llm", "a", At(0)));
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
      count +=
          rollouts.UsesNewVersion("llm", std::to_string(i), At(ms)) ? 1 : 0;
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
  constexpr std::int64_t kIntervalAndWriteMs = 1'000;
  RolloutProgress progress = BeginRollout(Order(kShortMs), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  std::vector<RolloutReport> reports(1);
  reports[0].phase = RolloutPhase::kSwitched;
  reports[0].old_in_flight = 3;
  CHECK(NextPhase(progress, reports, 1, kBeganMs + kShortMs / 2) ==
        RolloutPhase::kSwitched);
  CHECK(NextPhase(progress, reports, 1,
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
  CHECK(NextPhase(progress, reports, 2, at) == RolloutPhase::kSwitched);
  reports[1].old_in_flight = 0;
  CHECK(NextPhase(progress, reports, 2, at) == RolloutPhase::kCompleted);
  // A VM that has not reported the switch may still send to the old version.
  CHECK(NextPhase(progress, reports, 3, at) == RolloutPhase::kSwitched);
  CHECK(NextPhase(progress, reports, 3, kBeganMs + 19'500) ==
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
