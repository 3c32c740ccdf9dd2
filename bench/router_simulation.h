// A randomised simulation of routers on a fake table, with fault injection.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "bench/fake_table.h"
#include "coordination/time.h"
#include "policy/router.h"

namespace hornbeamspool::bench {

struct RouterSimulationOptions {
  std::uint64_t seed = 1;
  std::int64_t nodes = 4;
  std::int64_t steps = 400;
  std::int64_t budgets = 2;
  std::int64_t prepaid = 20'000;   // tokens of each budget
  double fault_rate = 0.05;        // probability of a fault in each step
  double lost_answer_rate = 0.05;  // fraction of table commands
  TableMutation mutation;
};

// Counts are of requests, amounts are in tokens, unless noted otherwise.
struct RouterSimulationResult {
  std::string violation;  // the first one; empty if every invariant held
  std::int64_t requests = 0;
  std::int64_t completed = 0;
  std::int64_t refused = 0;
  std::map<std::string, std::int64_t> refusals;  // by error kind
  std::int64_t false_refusals = 0;  // the balance covered the request
  std::int64_t crashes = 0;
  std::int64_t overspend = 0;  // tokens used beyond the prepaid ones
  std::int64_t stranded = 0;   // granted to crashed routers and never spent
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t table_writes = 0;
  std::uint64_t signature = 0;  // hash of every decision, in order
};

// Drives the production routers in virtual time against a FakeTable. A seeded
// random generator chooses requests, duplicates and retries, and the faults:
// crashes, restarts, pauses, partitions, table outages, and lost or late
// answers. All invariants are checked after every step.
class RouterSimulation {
 public:
  explicit RouterSimulation(RouterSimulationOptions options);
  RouterSimulation(const RouterSimulation&) = delete;
  RouterSimulation& operator=(const RouterSimulation&) = delete;
  ~RouterSimulation();

  // Runs all steps, then ends the faults and stops the routers. Stops at the
  // first violation. Call it once.
  RouterSimulationResult Run();

 private:
  struct Node;
  struct TableMessage;
  struct ActiveRequest;

  coordination::TimePoint Now() const { return this->now; }
  // Uniform in [min, max].
  std::int64_t RandomInteger(std::int64_t min, std::int64_t max);
  // True with this probability.
  bool Chance(double probability);
  void Step(bool faults);
  void InjectFault();
  void RestartCrashedNodes();
  void SendNewRequest();
  void SendToRandomNode(const policy::AdmissionRequest& request);
  void Submit(Node& node, const policy::AdmissionRequest& request);
  // Sends the commands to the table and the replies to the callers.
  void ProcessOutbox(Node& node, policy::Outbox& outbox);
  void HandleReply(Node& node, const policy::AdmissionReply& reply);
  void SendCommand(Node& node, policy::TableCommand command);
  void DeliverMessages();
  void FinishRequests();
  void EndRun(Node& node, ActiveRequest& run);
  void StartNode(Node& node);
  void CrashNode(Node& node);
  void TickRouters();
  // Ends all faults, and steps until every router has stopped.
  void Drain();
  void CheckInvariants();
  void CheckAfterDrain();
  void ReportViolation(std::string text);
  void UpdateSignature(std::uint64_t value);
  // Counts tokens that a run of the request `key` used.
  void RecordSpending(const std::string& budget, const std::string& key,
                      std::int64_t tokens);
  void RecordBills();
  std::int64_t SpentTokens(const std::string& budget) const;
  // Tokens of the budget that are not spent, granted or not.
  std::int64_t UnspentTokens(const std::string& budget) const;

  RouterSimulationOptions options;
  std::mt19937_64 random;
  FakeTable table;
  coordination::TimePoint now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TableMessage> messages;
  std::vector<ActiveRequest> active_requests;
  // Requests whose last attempt ended without an answer.
  std::vector<policy::AdmissionRequest> pending_retries;
  std::map<std::string, std::int64_t> billed;         // tokens by budget
  std::map<std::string, std::int64_t> unbilled;       // used tokens by budget
  std::map<std::string, std::int64_t> unbilled_runs;  // used tokens by bill key
  std::map<std::string, std::int64_t> order_sends;    // by request key
  // Holder by request key, for answered requests that must be billed.
  std::map<std::string, std::string> expected_bills;
  policy::FleetConfig config;
  coordination::TimePoint table_down_until{};
  bool draining = false;
  std::uint64_t next_request = 1;
  std::uint64_t next_correlation_id = 1;
  RouterSimulationResult result;
};

}  // namespace hornbeamspool::bench
