// Rollouts beside disruptions, at 7 to 390 VMs. ROLLOUT_SEEDS sets the number
// of seeds; each seed draws the disruptions' moments and shares.
#include "tests/rollout_fleet.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <string>

namespace hornbeamspool::policy {
namespace {

struct FleetSize {
  std::size_t vms;
  double per_second;
};
constexpr FleetSize kSizes[] = {{7, 31}, {78, 300}, {195, 600}, {390, 1'300}};

int Seeds() {
  const char* seeds = std::getenv("ROLLOUT_SEEDS");
  return seeds == nullptr ? 3 : std::atoi(seeds);
}

struct Kind {
  const char* name;
  Behaviour behaviour;
  bool good;
};

std::vector<Kind> Kinds() {
  Behaviour failing = Good();
  failing.failure_rate = [](double, double, int) { return 0.4; };
  Behaviour half_slow = Good();
  half_slow.slowdown = [](double, double, int) { return 4.0; };
  half_slow.slow_share = 0.5;
  half_slow.median_ms = 60;
  half_slow.deviation = 0.5;
  Behaviour late = Good();
  late.failure_rate = [](double second, double, int) {
    return second > 14 ? 0.5 : 0.0;
  };
  Behaviour loaded = Good();
  loaded.failure_rate = [](double, double fraction, int) {
    return fraction > 0.5 ? 0.5 : 0.0;
  };
  return {{"good", Good(), true},
          {"fails", failing, false},
          {"half of the answers slow", half_slow, false},
          {"fails late", late, false},
          {"fails under load", loaded, false}};
}

// The disruption of a seed; none for every fifth.
void Disrupt(Fleet& fleet, int seed) {
  std::mt19937 random(static_cast<std::uint32_t>(seed));
  std::uniform_real_distribution<double> from(0, 14);
  std::uniform_real_distribution<double> length(1, 14);
  std::uniform_real_distribution<double> share(0.2, 1.2);
  const auto kinds = static_cast<std::uint32_t>(DisruptionKind::kCount) + 1;
  const std::uint32_t kind = static_cast<std::uint32_t>(seed) % kinds;
  if (kind + 1 == kinds) return;
  Disruption disruption;
  disruption.kind = static_cast<DisruptionKind>(kind);
  disruption.from_s = from(random);
  disruption.to_s = disruption.from_s + length(random);
  if (disruption.kind == DisruptionKind::kKilled) {
    disruption.to_s = disruption.from_s + 2;
  }
  disruption.share = share(random);
  fleet.With(disruption);
}

// Guards against a bad version that gets all requests because disruptions left
// no answers to judge it by, or because it turns bad after the switch.
TEST_CASE("a bad version stays within its limit beside disruptions") {
  for (const FleetSize& size : kSizes) {
    for (const Kind& kind : Kinds()) {
      int completed = 0;
      int over = 0;
      double worst = 0;
      for (int seed = 1; seed <= Seeds(); ++seed) {
        CAPTURE(size.vms);
        CAPTURE(kind.name);
        CAPTURE(seed);
        Fleet fleet(size.vms, kTimeLimitMs, static_cast<std::uint32_t>(seed));
        Disrupt(fleet, seed);
        const FleetOutcome outcome = fleet.Run(kind.behaviour, size.per_second);
        const double allowed = 0.1 * static_cast<double>(outcome.requests) + 50;
        const double part =
            static_cast<double>(outcome.new_version_requests) / allowed;
        if (outcome.phase == RolloutPhase::kCompleted) ++completed;
        if (kind.good) continue;
        worst = std::max(worst, part);
        if (part > 1) ++over;
        CHECK(part <= 1);
      }
      std::cout << size.vms << " VMs, " << kind.name << ": " << completed
                << " of " << Seeds() << " completed, " << over
                << " over the limit, worst " << worst << " of it\n";
    }
  }
}

// Guards against a switch by the clock alone: all VMs lost their links to the
// upstreams while the new version was to be tried.
TEST_CASE("a version that could not be tried is rolled back") {
  for (const FleetSize& size : kSizes) {
    CAPTURE(size.vms);
    for (const Kind& kind : Kinds()) {
      CAPTURE(kind.name);
      Fleet fleet(size.vms);
      fleet.With({DisruptionKind::kNoUpstreams, 0, 19, 1});
      const FleetOutcome outcome = fleet.Run(kind.behaviour, size.per_second);
      CHECK(outcome.phase == RolloutPhase::kRolledBack);
    }
  }
}

// Guards against a mean that hides the slow half of the answers.
TEST_CASE("a version with slow answers among fast ones is rolled back") {
  constexpr std::int64_t kShortMs = 15'000;
  const Kind half_slow = Kinds().at(2);
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const FleetOutcome outcome =
        Fleet(8, kShortMs, seed).Run(half_slow.behaviour, 31);
    CHECK(outcome.phase == RolloutPhase::kRolledBack);
    CHECK(outcome.new_version_late == 0);
  }
}

TEST_CASE("a VM that does not hear of the store sends nothing after a switch") {
  VersionRollouts rollouts(1);
  rollouts.SetFleetSize(1);
  rollouts.SetOrder(Order());
  RolloutProgress progress = BeginRollout(Order(), kBeganMs);
  progress.phase = RolloutPhase::kSwitched;
  rollouts.SetStoreClock(kBeganMs + 18'000, At(0));
  rollouts.SetProgress("llm", progress);
  CHECK(rollouts.UsesNewVersion("llm", "lookup", At(1'000)));
  CHECK_FALSE(rollouts.UsesNewVersion("llm", "lookup", At(3'000)));
  CHECK(rollouts.EligibilityOf("llm", "v1", false) ==
        VersionRollouts::Eligibility::kPreferred);
}

}  // namespace
}  // namespace hornbeamspool::policy
