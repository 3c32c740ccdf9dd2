// Runs the simulations with fixed seeds and prints their measures. The
// signature is a hash of all decisions of the router and grant simulations: it
// changes only if a decision changes.
#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <string_view>

#include "bench/budget_simulation.h"
#include "bench/grant_simulation.h"
#include "bench/router_simulation.h"

namespace {

using hornbeamspool::bench::BudgetSimulation;
using hornbeamspool::bench::BudgetSimulationOptions;
using hornbeamspool::bench::BudgetSimulationResult;
using hornbeamspool::bench::GrantSimulation;
using hornbeamspool::bench::GrantSimulationOptions;
using hornbeamspool::bench::GrantSimulationResult;
using hornbeamspool::bench::RouterSimulation;
using hornbeamspool::bench::RouterSimulationOptions;
using hornbeamspool::bench::RouterSimulationResult;
using hornbeamspool::bench::ShareStrategy;

struct Scenario {
  std::string_view name;
  double fault_rate = 0;
  double lost_answer_rate = 0;
  std::int64_t prepaid = 0;  // of each budget
};

// The prepaid tokens determine whether a run exhausts its budgets.
constexpr std::array<Scenario, 5> kScenarios{{
    {"no_fault_plenty", 0, 0, 400'000},
    {"no_fault_exhausted", 0, 0, 20'000},
    {"faults_plenty", 0.02, 0.02, 400'000},
    {"faults_exhausted", 0.02, 0.02, 20'000},
    {"lost_answers", 0, 0.2, 400'000},
}};
constexpr std::uint64_t kSeeds = 40;
constexpr std::int64_t kSteps = 1'000;

struct ScenarioTotal {
  RouterSimulationResult result;
  std::uint64_t violations = 0;
};

ScenarioTotal RunScenario(const Scenario& scenario) {
  ScenarioTotal sum;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RouterSimulationOptions options;
    options.seed = seed;
    options.steps = kSteps;
    options.fault_rate = scenario.fault_rate;
    options.lost_answer_rate = scenario.lost_answer_rate;
    options.prepaid = scenario.prepaid;
    const RouterSimulationResult run = RouterSimulation(options).Run();
    if (!run.violation.empty()) {
      ++sum.violations;
      std::printf("%.*s, seed %lu: %s\n",
                  static_cast<int>(scenario.name.size()), scenario.name.data(),
                  seed, run.violation.c_str());
    }
    sum.result.requests += run.requests;
    sum.result.completed += run.completed;
    sum.result.refused += run.refused;
    sum.result.false_refusals += run.false_refusals;
    sum.result.overspend += run.overspend;
    sum.result.stranded += run.stranded;
    sum.result.spent += run.spent;
    sum.result.prepaid += run.prepaid;
    sum.result.table_writes += run.table_writes;
    sum.result.signature =
        sum.result.signature * 0x100000001b3ULL ^ run.signature;
  }
  return sum;
}

using hornbeamspool::policy::GrantPolicy;

constexpr std::array<std::string_view, 3> kPolicyNames{"escrow", "static_split",
                                                       "central"};
constexpr std::uint64_t kGrantSeeds = 2;
// Of 390 nodes, 16 crash and 290 are restarted on an ordinary day.
constexpr double kCrashesPerNodeDay = 16.0 / 390;
constexpr double kRestartsPerNodeDay = 290.0 / 390;

struct GrantScenario {
  std::string_view name;
  double used_at_start = 0;
  bool partition = false;
  bool crashes = false;
};

constexpr std::array<GrantScenario, 5> kGrantScenarios{{
    {"no_fault", 0, false, false},
    {"cut_1h_at_30%", 0.30, true, false},
    {"cut_1h_at_80%", 0.80, true, false},
    {"cut_1h_at_98%", 0.98, true, false},
    {"deaths_restarts", 0, false, true},
}};

GrantSimulationResult RunGrantScenario(const GrantScenario& scenario,
                                       GrantPolicy policy) {
  GrantSimulationResult sum;
  for (std::uint64_t seed = 1; seed <= kGrantSeeds; ++seed) {
    GrantSimulationOptions options;
    options.seed = seed;
    options.policy = policy;
    options.used_at_start = scenario.used_at_start;
    if (scenario.partition) {
      options.length = std::chrono::hours(2);
      options.partition_start = std::chrono::minutes(20);
      options.partition_length = std::chrono::hours(1);
    }
    if (scenario.crashes) {
      options.crashes_per_node_day = kCrashesPerNodeDay;
      options.restarts_per_node_day = kRestartsPerNodeDay;
    }
    const GrantSimulationResult run = GrantSimulation(options).Run();
    sum.requests += run.requests;
    sum.false_refusals += run.false_refusals;
    sum.partitioned_requests += run.partitioned_requests;
    sum.partitioned_false_refusals += run.partitioned_false_refusals;
    sum.crashes += run.crashes;
    sum.restarts += run.restarts;
    sum.prepaid += run.prepaid;
    sum.stranded += run.stranded;
    sum.stranded_by_restarts += run.stranded_by_restarts;
    sum.table_writes += run.table_writes;
    sum.hours += run.hours;
    sum.signature = sum.signature * 0x100000001b3ULL ^ run.signature;
  }
  return sum;
}

// Simulations of the users' standard day.
constexpr std::uint64_t kBudgetSeeds = 10;
constexpr std::array<std::string_view,
                     static_cast<std::size_t>(ShareStrategy::kCount)>
    kStrategyNames{"homes", "each_vm", "no_reclaim"};

BudgetSimulationResult RunBudgetScenario(ShareStrategy strategy) {
  BudgetSimulationResult sum;
  for (std::uint64_t seed = 1; seed <= kBudgetSeeds; ++seed) {
    BudgetSimulationOptions options;
    options.seed = seed;
    options.standard_day = true;
    options.prepaid = 4'500'000;  // a little less than the demand
    options.strategy = strategy;
    const BudgetSimulationResult run = BudgetSimulation(options).Run();
    sum.requests += run.requests;
    sum.served += run.served;
    sum.refused += run.refused;
    sum.refused_within_budget += run.refused_within_budget;
    sum.spent += run.spent;
    sum.stranded += run.stranded;
    sum.store_calls += run.store_calls;
    sum.overspend = std::max(sum.overspend, run.overspend);
  }
  return sum;
}

double Ratio(std::int64_t numerator, std::int64_t denominator) {
  return denominator == 0 ? 0
                          : static_cast<double>(numerator) /
                                static_cast<double>(denominator);
}

}  // namespace

int main() {
  std::uint64_t signature = 0;
  std::uint64_t violations = 0;
  std::int64_t overspend = 0;
  std::printf("%-20s %9s %9s %10s %14s %9s %12s\n", "scenario", "requests",
              "whole", "overspend", "false_refusals", "stranded",
              "writes/whole");
  for (const Scenario& scenario : kScenarios) {
    const ScenarioTotal sum = RunScenario(scenario);
    const RouterSimulationResult& result = sum.result;
    std::printf("%-20.*s %9ld %9ld %10ld %13.3f%% %8.3f%% %12.2f\n",
                static_cast<int>(scenario.name.size()), scenario.name.data(),
                result.requests, result.completed, result.overspend,
                100 * Ratio(result.false_refusals, result.requests),
                100 * Ratio(result.stranded, result.prepaid),
                Ratio(result.table_writes, result.completed));
    signature = signature * 0x100000001b3ULL ^ result.signature;
    violations += sum.violations;
    overspend += result.overspend;
  }
  std::printf("\n%-16s %-13s %14s %14s %10s %14s %12s\n", "one budget",
              "grants", "false_refusals", "in_cut_region", "stranded",
              "by_restarts", "writes/hour");
  for (const GrantScenario& scenario : kGrantScenarios) {
    for (std::size_t i = 0; i < kPolicyNames.size(); ++i) {
      const GrantSimulationResult total =
          RunGrantScenario(scenario, static_cast<GrantPolicy>(i));
      std::printf("%-16.*s %-13.*s %13.3f%% %13.3f%% %9.4f%% %14ld %12.1f\n",
                  static_cast<int>(scenario.name.size()), scenario.name.data(),
                  static_cast<int>(kPolicyNames.at(i).size()),
                  kPolicyNames.at(i).data(),
                  100 * Ratio(total.false_refusals, total.requests),
                  100 * Ratio(total.partitioned_false_refusals,
                              total.partitioned_requests),
                  100 * Ratio(total.stranded, total.prepaid),
                  total.stranded_by_restarts,
                  static_cast<double>(total.table_writes) / total.hours);
      signature = signature * 0x100000001b3ULL ^ total.signature;
    }
  }
  std::printf("\n%-16s %9s %9s %9s %12s %12s %12s\n", "gateways' day",
              "requests", "refused", "fitted", "stranded", "store_calls",
              "overspend");
  for (std::size_t i = 0; i < kStrategyNames.size(); ++i) {
    const BudgetSimulationResult total =
        RunBudgetScenario(static_cast<ShareStrategy>(i));
    std::printf("%-16.*s %9ld %8.3f%% %8.3f%% %11.3f%% %12ld %12ld\n",
                static_cast<int>(kStrategyNames.at(i).size()),
                kStrategyNames.at(i).data(), total.requests,
                100 * Ratio(total.refused, total.requests),
                100 * Ratio(total.refused_within_budget, total.requests),
                100 * Ratio(total.stranded, total.spent), total.store_calls,
                total.overspend);
    overspend = std::max(overspend, total.overspend);
  }
  std::printf("\noverspend: %ld tokens\n", overspend);
  std::printf("moves between versions: see version_move_test\n");
  std::printf("memory held for slow readers: see scripts/measure.sh\n");
  std::printf("violations: %lu\n", violations);
  std::printf("signature: %016lx\n", signature);
  return violations == 0 ? 0 : 1;
}
