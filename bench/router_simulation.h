// A handful of routers driven directly, with the time as argument, against a
// fake table: requests, retries, deaths, restarts, pauses, cuts, lost and late
// answers, drawn from one seed. Invariants are checked after every step.
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
  std::int64_t prepaid = 20'000;  // tokens of each budget
  double fault_rate = 0.05;       // share of steps that bring a fault
  double lost_answer_rate = 0.05;
  TableMutation mutation;
};

// What a run came to.
struct RouterSimulationResult {
  std::string violation;  // empty when every invariant held
  std::int64_t requests = 0;
  std::int64_t completed = 0;
  std::int64_t refused = 0;
  std::map<std::string, std::int64_t> refusals;  // by error kind
  std::int64_t false_refusals = 0;               // the balance could have paid
  std::int64_t crashes = 0;
  std::int64_t overspend = 0;  // tokens run beyond what was prepaid
  std::int64_t stranded = 0;   // granted to the dead and never spent
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t table_writes = 0;
  std::uint64_t signature = 0;  // of every decision, in order
};

class RouterSimulation {
 public:
  explicit RouterSimulation(RouterSimulationOptions options);
  RouterSimulation(const RouterSimulation&) = delete;
  RouterSimulation& operator=(const RouterSimulation&) = delete;
  ~RouterSimulation();

  // Runs every step, then lets the faults end and stops each router.
  RouterSimulationResult Run();

 private:
  struct Node;
  struct TableMessage;
  struct RunningRequest;

  coordination::TimePoint Now() const { return this->now; }
  std::int64_t RandomInteger(std::int64_t min, std::int64_t max);
  bool Chance(double probability);
  void Step(bool faults);
  void InjectFault();
  void RestartCrashedNodes();
  void SendNewRequest();
  void SendToRandomNode(const policy::AdmissionRequest& request);
  void Submit(Node& node, const policy::AdmissionRequest& request);
  void ProcessOutbox(Node& node, policy::Outbox& outbox);
  void HandleReply(Node& node, const policy::AdmissionReply& reply);
  void SendCommand(Node& node, policy::TableCommand command);
  void DeliverMessages();
  void FinishRequests();
  void EndRun(Node& node, RunningRequest& run);
  void StartNode(Node& node);
  void CrashNode(Node& node);
  void TickRouters();
  void Drain();
  void CheckInvariants();
  void CheckAfterDrain();
  void ReportViolation(std::string text);
  void UpdateSignature(std::uint64_t value);
  void RecordSpending(const std::string& budget, const std::string& key,
                      std::int64_t tokens);
  void RecordBills();
  std::int64_t SpentTokens(const std::string& budget) const;
  std::int64_t UnspentTokens(const std::string& budget) const;

  RouterSimulationOptions options;
  std::mt19937_64 random;
  FakeTable table;
  coordination::TimePoint now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<TableMessage> messages;
  std::vector<RunningRequest> running_requests;
  std::vector<policy::AdmissionRequest> pending_retries;
  std::map<std::string, std::int64_t> billed;    // by budget
  std::map<std::string, std::int64_t> unbilled;  // run and not billed, likewise
  std::map<std::string, std::int64_t> unbilled_runs;  // by bill
  std::map<std::string, std::int64_t> order_sends;    // by request key
  std::map<std::string, std::string> expected_bills;  // key to holder
  policy::FleetConfig config;
  coordination::TimePoint table_down_until{};
  bool draining = false;
  std::uint64_t next_request = 1;
  std::uint64_t next_correlation_id = 1;
  RouterSimulationResult result;
};

}  // namespace hornbeamspool::bench
