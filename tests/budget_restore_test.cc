// Random runs of a simulated fleet whose store comes back from older copies.
#include <doctest/doctest.h>

#include <chrono>
#include <cstdlib>
#include <string>

#include "bench/budget_simulation.h"

namespace hornbeamspool {
namespace {

using bench::BudgetSimulation;
using bench::BudgetSimulationOptions;
using bench::BudgetSimulationResult;
using bench::ShareStrategy;

std::uint64_t Seeds() {
  constexpr std::uint64_t kSeeds = 150;
  const char* text = std::getenv("RESTORE_SEEDS");
  return text == nullptr ? kSeeds : std::strtoull(text, nullptr, 10);
}

// A budget that runs out while the store is restored several times.
BudgetSimulationOptions RestoredFleet(std::uint64_t seed) {
  BudgetSimulationOptions options;
  options.seed = seed;
  options.vms = 2 + seed % 6;
  options.organisations = 1 + seed % 3;
  options.prepaid = 900'000;
  options.length = std::chrono::seconds(30);
  options.lost_answer_rate = 0.05;
  options.lost_datagram_rate = 0.05;
  options.restore_rate = 0.12;
  return options;
}

// Tokens that VMs had drawn since the copy used to be drawn again by others.
TEST_CASE("no run with restores of the store overspends") {
  std::int64_t restores = 0;
  std::int64_t served = 0;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    for (const ShareStrategy strategy :
         {ShareStrategy::kHomes, ShareStrategy::kEachVm}) {
      BudgetSimulationOptions options = RestoredFleet(seed);
      options.strategy = strategy;
      const BudgetSimulationResult result = BudgetSimulation(options).Run();
      INFO("seed ", seed, ": ", result.violation);
      CHECK(result.overspend == 0);
      restores += result.restores;
      served += result.served;
    }
  }
  CHECK(restores > 0);
  CHECK(served > 0);
}

}  // namespace
}  // namespace hornbeamspool
