// Randomised simulations of routers on a fake table. Mutation tests show that
// the invariant checks detect each missing condition.
#include <doctest/doctest.h>

#include <cstdlib>
#include <string>
#include <string_view>

#include "bench/router_simulation.h"

namespace hornbeamspool::bench {
namespace {

// RANDOM_RUNS=N sets the number of runs, RANDOM_SEED=S the first seed.
std::uint64_t FromEnvironment(const char* name, std::uint64_t fallback) {
  const char* text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// The first violation in `runs` runs; empty if there is none.
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

// Many routers on one small budget.
RouterSimulationOptions ContendedBudget() {
  RouterSimulationOptions options;
  options.nodes = 8;
  options.budgets = 1;
  options.prepaid = 3'000;
  options.fault_rate = 0.15;
  options.lost_answer_rate = 0.2;
  return options;
}

// Whether a run with this mutation ends with a violation whose text starts with
// `expected`.
bool DetectsMutation(TableMutation mutation, std::string_view expected) {
  RouterSimulationOptions options = ContendedBudget();
  options.mutation = mutation;
  options.steps = kMutationSteps;
  // With more faults the runs would not exhaust the budget.
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

TEST_CASE("no run violates an invariant") {
  const std::uint64_t runs = FromEnvironment("RANDOM_RUNS", kRuns);
  const std::uint64_t seed = FromEnvironment("RANDOM_SEED", 1);
  CHECK_EQ(FirstViolation(RouterSimulationOptions{}, runs, seed), "");
}

TEST_CASE("a small budget shared by many routers is never overspent") {
  CHECK_EQ(FirstViolation(ContendedBudget(), kRuns / 10, 500'000), "");
}

TEST_CASE("runs with the same seed make the same decisions") {
  const RouterSimulationResult first =
      RouterSimulation(RouterSimulationOptions{}).Run();
  const RouterSimulationResult second =
      RouterSimulation(RouterSimulationOptions{}).Run();
  CHECK_EQ(first.signature, second.signature);
  CHECK_GT(first.completed, 0);
  MESSAGE("completed ", first.completed, " refused ", first.refused,
          " crashes ", first.crashes, " spent ", first.spent, " of ",
          first.prepaid);
}

TEST_CASE("a budget write without its version condition is detected") {
  TableMutation mutation;
  mutation.ignore_budget_version = true;
  CHECK(DetectsMutation(mutation, "overspent"));
}

TEST_CASE("a bill write without its condition is detected") {
  TableMutation mutation;
  mutation.ignore_bill_condition = true;
  CHECK(DetectsMutation(mutation, "billed twice"));
}

TEST_CASE("an intent write without its condition is detected") {
  TableMutation mutation;
  mutation.ignore_intent_condition = true;
  CHECK(DetectsMutation(mutation, "order sent twice"));
}

TEST_CASE("reclaiming the grant of a paused router is detected") {
  TableMutation mutation;
  mutation.reclaim_suspect_grants = true;
  CHECK(DetectsMutation(mutation, "overspent"));
}

}  // namespace
}  // namespace hornbeamspool::bench
