// Long randomised runs of the real decisions against a fake table, and the
// proof that each invariant's check notices when its condition is broken.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <string_view>

#include "bench/router_simulation.h"

namespace hornbeamspool::bench {
namespace {

// RANDOM_RUNS=N runs N schedules instead; RANDOM_SEED=S starts at seed S.
std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// The first violation of `runs` schedules.
std::string FirstViolation(RouterSimulationOptions options, std::uint64_t runs,
                           std::uint64_t first_seed) {
  for (std::uint64_t seed = first_seed; seed < first_seed + runs; ++seed) {
    options.seed = seed;
    const RouterSimulationResult result = RouterSimulation(options).Run();
    if (!result.violation.empty()) {
      return "seed " + std::to_string(seed) + ": " + result.violation;
    }
  }
  return {};
}

constexpr std::uint64_t kRuns = 10'000;
constexpr std::uint64_t kMutationRuns = 100;
constexpr std::int64_t kMutationSteps = 1'500;

// Many holders on one small budget.
RouterSimulationOptions Crowded() {
  RouterSimulationOptions options;
  options.nodes = 8;
  options.budgets = 1;
  options.prepaid = 3'000;
  options.fault_rate = 0.15;
  options.lost_answer_rate = 0.2;
  return options;
}

// True when the check whose message starts with `expected` notices the mutant.
bool DetectsMutation(TableMutation mutation, std::string_view expected) {
  RouterSimulationOptions options = Crowded();
  options.mutation = mutation;
  options.steps = kMutationSteps;
  // Few enough faults that the budget runs out.
  options.fault_rate = 0.03;
  options.lost_answer_rate = 0.05;
  for (std::uint64_t seed = 1; seed <= kMutationRuns; ++seed) {
    options.seed = seed;
    const RouterSimulationResult result = RouterSimulation(options).Run();
    if (!result.violation.starts_with(expected)) continue;
    MESSAGE("seed ", seed, ": ", result.violation, ", overspend ",
            result.overspend);
    return true;
  }
  return false;
}

TEST_CASE("no schedule breaks an invariant") {
  const std::uint64_t runs = FromEnvironment("RANDOM_RUNS", kRuns);
  const std::uint64_t seed = FromEnvironment("RANDOM_SEED", 1);
  CHECK_EQ(FirstViolation(RouterSimulationOptions{}, runs, seed), "");
}

TEST_CASE("a small budget drawn on by many is never overspent") {
  CHECK_EQ(FirstViolation(Crowded(), kRuns / 10, 500'000), "");
}

TEST_CASE("the same seed decides the same") {
  const RouterSimulationResult first =
      RouterSimulation(RouterSimulationOptions{}).Run();
  const RouterSimulationResult second =
      RouterSimulation(RouterSimulationOptions{}).Run();
  CHECK_EQ(first.signature, second.signature);
  CHECK_GT(first.completed, 0);
  MESSAGE("whole ", first.completed, " refused ", first.refused, " deaths ",
          first.crashes, " spent ", first.spent, " of ", first.prepaid);
}

TEST_CASE("a budget row without its version is overspent, and noticed") {
  TableMutation mutation;
  mutation.ignore_budget_version = true;
  CHECK(DetectsMutation(mutation, "overspent"));
}

TEST_CASE("a bill row without its condition is noticed") {
  TableMutation mutation;
  mutation.ignore_bill_condition = true;
  CHECK(DetectsMutation(mutation, "billed twice"));
}

TEST_CASE("an intent row without its condition is noticed") {
  TableMutation mutation;
  mutation.ignore_intent_condition = true;
  CHECK(DetectsMutation(mutation, "order sent twice"));
}

TEST_CASE("reclaiming the grant of a holder that only paused overspends") {
  TableMutation mutation;
  mutation.reclaim_suspect_grants = true;
  CHECK(DetectsMutation(mutation, "overspent"));
}

}  // namespace
}  // namespace hornbeamspool::bench
