// One budget drawn on by the nodes of three regions over hours: what a cut, or
// a day's deaths and restarts, cost in false refusals, stranded tokens and
// table writes, for each way of sizing grants.
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
  double used_at_start = 0;        // share of the budget spent before
  coordination::Duration length = std::chrono::hours(24);
  coordination::Duration partition_start{};   // region 0 loses the table
  coordination::Duration partition_length{};  // none when zero
  double crashes_per_node_day = 0;
  double restarts_per_node_day = 0;
};

struct GrantSimulationResult {
  std::int64_t requests = 0;
  std::int64_t false_refusals = 0;        // before 99% of the budget is used
  std::int64_t partitioned_requests = 0;  // of the cut region during the cut
  std::int64_t partitioned_false_refusals = 0;
  std::int64_t crashes = 0;
  std::int64_t restarts = 0;
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t stranded = 0;  // by deaths
  std::int64_t stranded_by_restarts = 0;
  std::int64_t table_writes = 0;
  double hours = 0;
  std::uint64_t signature = 0;
};

class GrantSimulation {
 public:
  explicit GrantSimulation(GrantSimulationOptions options);
  GrantSimulation(const GrantSimulation&) = delete;
  GrantSimulation& operator=(const GrantSimulation&) = delete;
  ~GrantSimulation();

  GrantSimulationResult Run();

 private:
  struct Node;
  struct RunningRequest;
  struct Reply;

  bool Chance(double probability);
  bool IsPartitioned(const Node& node) const;
  void StartManager(Node& node);
  void GenerateRequest();
  void FinishRequests();
  void DeliverReplies();
  void TickNode(Node& node);
  void ProcessOutcome(Node& node, policy::BudgetOutcome& outcome);
  void ResolveReservation(Node& node, std::uint64_t reservation, bool reserved);
  void CountRefusal(const Node& node, std::int64_t amount);
  void CrashNode(Node& node);
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
