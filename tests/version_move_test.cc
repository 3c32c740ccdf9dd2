// Moves between versions: how much of the traffic a version on trial gets, and
// how a move ends.
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
constexpr std::int64_t kAllowedMs = 20'000;

RolloutOrder Order(std::int64_t allowed_ms = kAllowedMs) {
  return {"llm", "v2", std::chrono::milliseconds(allowed_ms), 7};
}

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// How the new version answers, by the time since the order, its part of the
// requests of the last second, and the route.
struct Behaviour {
  std::function<double(double second, double share, int route)> failure_rate;
  std::function<double(double second, double share, int route)> slowness;
  double typical_ms = 200;            // of an answer of the old version
  std::int64_t patience_ms = 60'000;  // after which callers leave
};

Behaviour Good() {
  const auto none = [](double, double, int) { return 0.0; };
  const auto same = [](double, double, int) { return 1.0; };
  Behaviour good;
  good.failure_rate = none;
  good.slowness = same;
  return good;
}

struct FleetOutcome {
  RolloutPhase phase = RolloutPhase::kCanary;
  double ended_after = 0;  // seconds
  std::int64_t requests = 0;
  std::int64_t moved = 0;
  std::int64_t moved_late = 0;  // 2 s and more after the 50th bad answer
};

// A fleet of VMs with two routes; every half second each reports, and the
// driver looks.
class Fleet {
 public:
  explicit Fleet(std::size_t vms, std::int64_t allowed_ms = kAllowedMs,
                 std::uint32_t seed = 5)
      : allowed_ms(allowed_ms), random(seed) {
    for (std::size_t i = 0; i < vms; ++i) {
      this->vms.emplace_back(i);
      this->vms.back().SetFleetSize(static_cast<std::int64_t>(vms));
      this->vms.back().SetOrder(Order(allowed_ms));
    }
  }

  FleetOutcome Run(const Behaviour& behaviour, double per_second) {
    FleetOutcome outcome;
    RolloutProgress progress = BeginRollout(Order(this->allowed_ms), kBeganMs);
    std::int64_t bad = 0;
    std::int64_t bad_since = 0;  // when there were 50
    std::int64_t moved_before = 0;
    std::int64_t requests_before = 0;
    double share = 0;
    for (std::int64_t ms = 0; ms < this->allowed_ms + 5'000; ms += 10) {
      this->EndSends(ms, bad, bad_since);
      if (ms % 500 == 0) this->Look(progress, ms);
      if (ms % 1'000 == 0) {
        const auto sent =
            static_cast<double>(outcome.requests - requests_before);
        share = sent == 0
                    ? 0
                    : static_cast<double>(outcome.moved - moved_before) / sent;
        moved_before = outcome.moved;
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
        const bool moved = vm.EligibilityOf("llm", "v2", use_new_version) ==
                           VersionRollouts::Eligibility::kPreferred;
        const std::string version = moved ? "v2" : "v1";
        if (ms < this->allowed_ms) {
          ++outcome.requests;
          if (moved) ++outcome.moved;
        }
        if (moved && bad_since != 0 && ms > bad_since + 2'000) {
          ++outcome.moved_late;
        }
        OpenSend open;
        open.vm = &vm;
        open.route = "route-" + std::to_string(route);
        open.version = version;
        open.sent_at = At(ms);
        open.ended.revision =
            vm.OnSent({"llm", open.route, version, open.sent_at});
        const double second = static_cast<double>(ms) / 1'000;
        const double rate =
            moved ? behaviour.failure_rate(second, share, route) : 0.02;
        const double slowness =
            moved ? behaviour.slowness(second, share, route) : 1;
        std::lognormal_distribution<double> took(std::log(behaviour.typical_ms),
                                                 0.8);
        const auto took_ms =
            static_cast<std::int64_t>(took(this->random) * slowness);
        std::uniform_real_distribution<double> chance(0, 1);
        open.ended.outcome =
            chance(this->random) < rate ? Outcome::kFailed : Outcome::kAnswered;
        if (took_ms > behaviour.patience_ms) {
          open.ended.outcome = Outcome::kAbandoned;
        }
        this->open.emplace(ms + std::min(took_ms, behaviour.patience_ms),
                           std::move(open));
      }
    }
    outcome.phase = progress.phase;
    return outcome;
  }

 private:
  // A send that is out, and how it will end.
  struct OpenSend {
    VersionRollouts* vm = nullptr;
    std::string route;
    std::string version;
    coordination::TimePoint sent_at{};
    VersionRollouts::EndedSend ended;
  };

  void EndSends(std::int64_t ms, std::int64_t& bad, std::int64_t& bad_since) {
    while (!this->open.empty() && this->open.begin()->first <= ms) {
      OpenSend& open = this->open.begin()->second;
      open.ended.send = {"llm", open.route, open.version, open.sent_at};
      open.ended.ended_at = At(ms);
      open.vm->OnEnded(open.ended);
      const bool failed = open.ended.outcome == Outcome::kFailed;
      if (open.version == "v2" && failed && ++bad == 50) bad_since = ms;
      this->open.erase(this->open.begin());
    }
  }

  void Look(RolloutProgress& progress, std::int64_t ms) {
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

  std::int64_t allowed_ms;
  std::vector<VersionRollouts> vms;
  std::multimap<std::int64_t, OpenSend> open;  // by the time of their end
  std::mt19937_64 random;
};

// At most a tenth of the requests until the deadline, and 50.
bool IsExposureBounded(const FleetOutcome& outcome) {
  return outcome.moved <= outcome.requests / 10 + 50;
}

TEST_CASE("a good version gets all requests in time") {
  for (const std::size_t vms : {1, 7, 79}) {
    const FleetOutcome outcome = Fleet(vms).Run(Good(), 300);
    CHECK(outcome.phase == RolloutPhase::kCompleted);
    CHECK(outcome.ended_after < 20);
  }
}

TEST_CASE("a good version is not taken back by chance") {
  constexpr std::uint32_t kSeeds = 100;
  Behaviour good = Good();
  for (const double typical_ms : {200.0, 1'500.0}) {
    good.typical_ms = typical_ms;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(seed);
      const FleetOutcome outcome = Fleet(7, 8'000, seed).Run(good, 100);
      CHECK(outcome.phase == RolloutPhase::kCompleted);
    }
  }
}

TEST_CASE("a version that fails from the start is cut after few requests") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double, int) { return 0.4; };
  for (const std::size_t vms : {1, 7, 79}) {
    const FleetOutcome outcome = Fleet(vms).Run(bad, 300);
    CHECK(outcome.phase == RolloutPhase::kRolledBack);
    CHECK(IsExposureBounded(outcome));
    CHECK(outcome.moved < 200);
    CHECK(outcome.moved_late == 0);
  }
}

TEST_CASE("a version that answers several times slower is taken back") {
  Behaviour slow = Good();
  slow.slowness = [](double, double, int) { return 4.0; };
  const FleetOutcome outcome = Fleet(7).Run(slow, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

// Guards against EXPOSURE: a version so slow that its answers outlast the trial
// showed nothing bad, and got all requests.
TEST_CASE("a version whose answers do not come in the trial is taken back") {
  constexpr std::int64_t kShortMs = 8'000;
  Behaviour slow = Good();
  slow.slowness = [](double, double, int) { return 12.0; };
  slow.typical_ms = 1'000;
  slow.patience_ms = 4'000;
  for (const std::uint32_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    CAPTURE(seed);
    const FleetOutcome outcome = Fleet(7, kShortMs, seed).Run(slow, 100);
    CHECK(outcome.phase == RolloutPhase::kRolledBack);
    CHECK(IsExposureBounded(outcome));
  }
}

TEST_CASE("a version that fails on one route only is taken back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double, int route) {
    return route == 1 ? 0.3 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("a version that fails after a while is taken back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double second, double, int) {
    return second > 8 ? 0.4 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("a version that fails under load is taken back") {
  Behaviour bad = Good();
  bad.failure_rate = [](double, double share, int) {
    return share > 0.15 ? 0.5 : 0.0;
  };
  const FleetOutcome outcome = Fleet(7).Run(bad, 300);
  CHECK(outcome.phase == RolloutPhase::kRolledBack);
  CHECK(IsExposureBounded(outcome));
}

TEST_CASE("failures that both versions share take nothing back") {
  std::vector<RolloutReport> reports(1);
  reports[0].routes["lookup"] = {{100, 20, 80, 400}, {1'000, 160, 840, 4'200}};
  CHECK_FALSE(IsNewVersionWorse(reports));
}

// Guards against EXPOSURE: what a VM had seen of a bad version was forgotten
// when its process was killed.
TEST_CASE("a successor goes on from what its predecessor saw of a move") {
  const VersionRollouts::Send moved{"llm", "lookup", "v2", At(0)};
  VersionRollouts before(1);
  before.SetOrder(Order());
  for (int i = 0; i < 10; ++i) {
    VersionRollouts::EndedSend ended;
    ended.send = moved;
    ended.revision = before.OnSent(moved);
    ended.outcome = Outcome::kFailed;
    ended.ended_at = At(100);
    before.OnEnded(ended);
  }
  const RolloutReport left = before.ReportAt("llm", At(200));
  VersionRollouts after(2);
  after.SetOrder(Order());
  after.MergePredecessorReport("llm", left);
  const RolloutReport report = after.ReportAt("llm", At(200));
  CHECK(report.routes.at("lookup").new_version.failures == 10);
  CHECK(after.Find("llm")->new_version_sends == 10);
  // Its own report, come back from a write of unknown outcome, counts once.
  after.MergePredecessorReport("llm", report);
  CHECK(
      after.ReportAt("llm", At(200)).routes.at("lookup").new_version.failures ==
      10);
}

TEST_CASE("before the move has begun, the new version gets nothing") {
  VersionRollouts moves(1);
  moves.SetOrder(Order());
  CHECK_FALSE(moves.UsesNewVersion("llm", "a", At(0)));
  CHECK(moves.EligibilityOf("llm", "v2", false) ==
        VersionRollouts::Eligibility::kForbidden);
  CHECK(moves.EligibilityOf("llm", "v1", false) ==
        VersionRollouts::Eligibility::kPreferred);
  CHECK(moves.EligibilityOf("desk", "v2", false) ==
        VersionRollouts::Eligibility::kPreferred);
}

TEST_CASE("a VM that does not hear of the store leaves the trial") {
  VersionRollouts moves(1);
  moves.SetFleetSize(1);
  moves.SetOrder(Order());
  moves.SetProgress("llm", BeginRollout(Order(), kBeganMs));
  moves.SetStoreClock(kBeganMs + 11'000, At(0));
  const auto taken = [&](std::int64_t ms) {
    int count = 0;
    for (int i = 0; i < 100; ++i) {
      count += moves.UsesNewVersion("llm", std::to_string(i), At(ms)) ? 1 : 0;
    }
    return count;
  };
  CHECK(taken(0) > 0);
  CHECK(taken(3'000) == 0);
}

TEST_CASE("an old driver's progress, or order, changes nothing") {
  VersionRollouts moves(1);
  moves.SetOrder(Order());
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  progress.phase = RolloutPhase::kRolledBack;
  moves.SetProgress("llm", progress);
  RolloutOrder next = Order();
  next.revision = 9;
  next.version = "v3";
  moves.SetOrder(next);
  CHECK_FALSE(moves.Find("llm")->begun);
  moves.SetOrder(Order());
  CHECK(moves.Find("llm")->order.version == "v3");
  moves.SetProgress("llm", progress);
  CHECK_FALSE(moves.Find("llm")->begun);
}

// Guards against a missed deadline: of a short move, the last part was shorter
// than a driver's look and its write.
TEST_CASE("a short move ends in time, whatever the old version still has") {
  constexpr std::int64_t kShortMs = 8'000;
  constexpr std::int64_t kLookAndWriteMs = 1'000;
  RolloutProgress progress = BeginRollout(Order(kShortMs), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  std::vector<RolloutReport> reports(1);
  reports[0].phase = RolloutPhase::kSwitched;
  reports[0].old_in_flight = 3;
  CHECK(NextPhase(progress, reports, 1, kBeganMs + kShortMs / 2) ==
        RolloutPhase::kSwitched);
  CHECK(
      NextPhase(progress, reports, 1, kBeganMs + kShortMs - kLookAndWriteMs) ==
      RolloutPhase::kCompleted);
}

TEST_CASE("a move ends when the old version has nothing left anywhere") {
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  std::vector<RolloutReport> reports(2);
  for (RolloutReport& report : reports) report.phase = RolloutPhase::kSwitched;
  reports[1].old_in_flight = 3;
  const std::int64_t at = kBeganMs + 14'000;
  CHECK(NextPhase(progress, reports, 2, at) == RolloutPhase::kSwitched);
  reports[1].old_in_flight = 0;
  CHECK(NextPhase(progress, reports, 2, at) == RolloutPhase::kCompleted);
  // A VM that has not reported the switch may still send to the old one.
  CHECK(NextPhase(progress, reports, 3, at) == RolloutPhase::kSwitched);
  CHECK(NextPhase(progress, reports, 3, kBeganMs + 19'500) ==
        RolloutPhase::kCompleted);
}

}  // namespace
}  // namespace hornbeamspool::policy
