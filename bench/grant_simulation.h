// A simulation of one budget used by the nodes of three regions.
#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_table.h"
#include "coordination/time.h"
#include "policy/grant_manager.h"

namespace hornbeamspool::bench {

struct GrantSimulationOptions {
  std::uint64_t seed = 1;
  policy::GrantPolicy policy = policy::GrantPolicy::kEscrow;
  std::int64_t nodes_per_region = 3;
  double requests_per_second = 2;  // of all regions
  double used_at_start = 0;        // fraction of the budget
  coordination::Duration length = std::chrono::hours(24);
  coordination::Duration partition_start{};   // of region 0 from the table
  coordination::Duration partition_length{};  // 0: no partition
  double crashes_per_node_day = 0;
  double restarts_per_node_day = 0;
};

// Counts are of requests, amounts are in tokens, unless noted otherwise.
struct GrantSimulationResult {
  std::int64_t requests = 0;
  std::int64_t false_refusals = 0;        // until 99% of the budget is used
  std::int64_t partitioned_requests = 0;  // in region 0, during its partition
  std::int64_t partitioned_false_refusals = 0;
  std::int64_t crashes = 0;
  std::int64_t restarts = 0;
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t stranded = 0;  // by crashes
  std::int64_t stranded_by_restarts = 0;
  std::int64_t table_writes = 0;
  double hours = 0;
  std::uint64_t signature = 0;
};

// Measures what a partition, or a day's crashes and restarts, cost in false
// refusals, stranded tokens and table writes under a grant policy. Drives the
// production GrantManagers in virtual time against a FakeTable.
class GrantSimulation {
 public:
  explicit GrantSimulation(GrantSimulationOptions options);
  GrantSimulation(const GrantSimulation&) = delete;
  GrantSimulation& operator=(const GrantSimulation&) = delete;
  ~GrantSimulation();

  // Runs the whole simulation. Call it once.
  GrantSimulationResult Run();

 private:
  struct Node;
  struct RunningRequest;
  struct Reply;

  // True with this probability.
  bool Chance(double probability);
  bool IsPartitioned(const Node& node) const;
  void StartManager(Node& node);
  void GenerateRequest();
  void FinishRequests();
  void DeliverReplies();
  void TickNode(Node& node);
  void ProcessOutcome(Node& node, policy::BudgetOutcome& outcome);
  void ResolveReservation(Node& node, std::uint64_t reservation, bool reserved);
  // Counts a refusal if it was false.
  void CountRefusal(const Node& node, std::int64_t amount);
  void CrashNode(Node& node);
  // Tokens of the budget that are neither spent, reserved nor stranded.
  std::int64_t Unspent() const;

  GrantSimulationOptions options;
  std::mt19937_64 random;
  FakeTable table;
  coordination::TimePoint start;
  coordination::TimePoint now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::deque<RunningRequest> running;
  std::deque<Reply> replies;
  std::int64_t spent_before = 0;
  std::int64_t reserved = 0;
  std::uint64_t next_reservation = 1;
  GrantSimulationResult result;
};

}  // namespace hornbeamspool::bench
