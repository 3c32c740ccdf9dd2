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

struct WorldOptions {
  std::uint64_t seed = 1;
  std::int64_t nodes = 4;
  std::int64_t steps = 400;
  std::int64_t budgets = 2;
  std::int64_t prepaid = 20'000;  // tokens of each budget
  double fault_rate = 0.05;       // share of steps that bring a fault
  double lost_answer_rate = 0.05;
  Mutation mutation;
};

// What a run came to.
struct WorldResult {
  std::string violation;  // empty when every invariant held
  std::int64_t requests = 0;
  std::int64_t whole = 0;
  std::int64_t refused = 0;
  std::map<std::string, std::int64_t> refusals;  // by error kind
  std::int64_t false_refusals = 0;               // the balance could have paid
  std::int64_t deaths = 0;
  std::int64_t overspend = 0;  // tokens run beyond what was prepaid
  std::int64_t stranded = 0;   // granted to the dead and never spent
  std::int64_t prepaid = 0;
  std::int64_t spent = 0;
  std::int64_t table_writes = 0;
  std::uint64_t signature = 0;  // of every decision, in order
};

class World {
 public:
  explicit World(WorldOptions options);
  World(const World&) = delete;
  World& operator=(const World&) = delete;
  ~World();

  // Runs every step, then lets the faults end and stops each router.
  WorldResult Run();

 private:
  struct Node;
  struct Flight;
  struct Work;
  struct Caller;

  coordination::TimePoint Now() const { return this->now; }
  std::int64_t Draw(std::int64_t least, std::int64_t most);
  bool Chance(double share);
  void Step(bool faults);
  void BringFault();
  void RestartSome();
  void SendRequest();
  void Repeat(const Caller& caller);
  void Submit(Node& node, const policy::AdmissionRequest& request);
  void Absorb(Node& node, policy::Outbox& outbox);
  void Take(Node& node, const policy::AdmissionReply& reply);
  void Carry(Node& node, policy::TableCommand command);
  void Deliver();
  void FinishWork();
  void EndWork(Node& node, Work& work);
  void StartNode(Node& node);
  void KillNode(Node& node);
  void Tick();
  void Drain();
  void Check();
  void CheckDrained();
  void Fail(std::string text);
  void Sign(std::uint64_t value);
  void NoteRun(const std::string& budget, const std::string& key,
               std::int64_t tokens);
  void NoteBills();
  std::int64_t SpendOf(const std::string& budget) const;
  std::int64_t Unreserved(const std::string& budget) const;

  WorldOptions options;
  std::mt19937_64 random;
  FakeTable table;
  coordination::TimePoint now;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Flight> flights;
  std::vector<Work> works;
  std::vector<Caller> callers;  // whose last try ended without an answer
  std::map<std::string, std::int64_t> billed;    // by budget
  std::map<std::string, std::int64_t> unbilled;  // run and not billed, likewise
  std::map<std::string, std::int64_t> unbilled_runs;  // by bill
  std::map<std::string, std::int64_t> order_sends;    // by request key
  std::map<std::string, std::string> owed_bills;      // key to holder
  policy::FleetConfig config;
  coordination::TimePoint table_down_until{};
  bool draining = false;
  std::uint64_t next_request = 1;
  std::uint64_t next_correlation_id = 1;
  WorldResult result;
};

}  // namespace hornbeamspool::bench
