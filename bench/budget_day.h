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

struct DayOptions {
  std::uint64_t seed = 1;
  policy::GrantPolicy policy = policy::GrantPolicy::kEscrow;
  std::int64_t nodes_per_region = 3;
  double requests_per_second = 2;  // of all regions
  double used_at_start = 0;        // share of the budget spent before
  coordination::Duration length = std::chrono::hours(24);
  coordination::Duration cut_after{};   // region 0 loses the table
  coordination::Duration cut_length{};  // none when zero
  double deaths_per_node_day = 0;
  double restarts_per_node_day = 0;
};

struct DayResult {
  std::int64_t requests = 0;
  std::int64_t false_refusals = 0;  // before 99% of the budget is used
  std::int64_t cut_requests = 0;    // of the cut region during the cut
  std::int64_t cut_false_refusals = 0;
  std::int64_t deaths = 0;
  std::int64_t restarts = 0;
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t stranded = 0;  // by deaths
  std::int64_t stranded_by_restarts = 0;
  std::int64_t table_writes = 0;
  double hours = 0;
  std::uint64_t signature = 0;
};

class BudgetDay {
 public:
  explicit BudgetDay(DayOptions options);
  BudgetDay(const BudgetDay&) = delete;
  BudgetDay& operator=(const BudgetDay&) = delete;
  ~BudgetDay();

  DayResult Run();

 private:
  struct Node;
  struct Open;
  struct Reply;

  bool Chance(double share);
  bool Cut(const Node& node) const;
  void StartBook(Node& node);
  void Arrive();
  void EndOpen();
  void Deliver();
  void TickNode(Node& node);
  void Absorb(Node& node, policy::BudgetOutcome& outcome);
  void Resolve(Node& node, std::uint64_t reservation, bool reserved);
  void Refuse(const Node& node, std::int64_t amount);
  void Die(Node& node);
  std::int64_t Unspent() const;

  DayOptions options;
  std::mt19937_64 random;
  FakeTable table;
  coordination::TimePoint start;
  coordination::TimePoint now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::deque<Open> open;
  std::deque<Reply> replies;
  std::int64_t spent_before = 0;
  std::int64_t reserved = 0;
  std::uint64_t next_reservation = 1;
  DayResult result;
};

}  // namespace hornbeamspool::bench
