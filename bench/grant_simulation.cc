#include "bench/grant_simulation.h"

#include <algorithm>
#include <map>
#include <utility>
#include <variant>

namespace hornbeamspool::bench {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::TableStatus;

constexpr Duration kStep = std::chrono::seconds(1);
constexpr Duration kTableLatency = std::chrono::milliseconds(20);
constexpr Duration kRequestDuration = std::chrono::seconds(10);
constexpr std::int64_t kRegions = 3;
constexpr std::int64_t kDaySeconds = 86'400;
// A request reserves a random number of tokens in this range and uses 2/5 of
// them.
constexpr std::int64_t kMinReserved = 200;
constexpr std::int64_t kMaxReserved = 800;
constexpr std::int64_t kMeanUsed = 200;
constexpr const char* kBudget = "budget";
// Refusals are not counted once this fraction of the budget is used.
constexpr double kMaxCountedUsage = 0.99;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct GrantSimulation::Node {
  std::int64_t index = 0;
  std::int64_t region = 0;
  std::int64_t start_count = 0;
  std::string holder;
  std::unique_ptr<policy::GrantManager> grants;
  std::map<std::uint64_t, std::int64_t> waiting;  // amount by reservation
  bool stopping = false;
};

struct GrantSimulation::RunningRequest {
  TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  std::int64_t amount = 0;
};

struct GrantSimulation::Reply {
  TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  policy::TableReply reply;
};

GrantSimulation::GrantSimulation(GrantSimulationOptions options)
    : options(options),
      random(options.seed),
      table(TableMutation{}),
      start(std::chrono::hours(1)),
      now(start) {
  // The demand of one day is prepaid.
  const auto prepaid =
      static_cast<std::int64_t>(options.requests_per_second *
                                static_cast<double>(kDaySeconds)) *
      kMeanUsed;
  this->result.prepaid = prepaid;
  this->spent_before = static_cast<std::int64_t>(options.used_at_start *
                                                 static_cast<double>(prepaid));
  this->table.TopUp(kBudget, prepaid - this->spent_before);
  for (std::int64_t i = 0; i < kRegions * options.nodes_per_region; ++i) {
    auto node = std::make_unique<Node>();
    node->index = i;
    node->region = i / options.nodes_per_region;
    this->StartManager(*node);
    this->nodes.push_back(std::move(node));
  }
}

GrantSimulation::~GrantSimulation() = default;

bool GrantSimulation::Chance(double probability) {
  constexpr double kScale = 1.0 / 18446744073709551616.0;
  return static_cast<double>(this->random()) * kScale < probability;
}

bool GrantSimulation::IsPartitioned(const Node& node) const {
  if (node.region != 0) return false;
  const Duration since = this->now - this->start;
  return since >= this->options.partition_start &&
         since < this->options.partition_start + this->options.partition_length;
}

void GrantSimulation::StartManager(Node& node) {
  ++node.start_count;
  node.holder =
      std::to_string(node.index) + '@' + std::to_string(node.start_count);
  node.grants = std::make_unique<policy::GrantManager>(this->options.policy);
  node.grants->SetHolders(kRegions * this->options.nodes_per_region);
  node.waiting.clear();
  node.stopping = false;
}

std::int64_t GrantSimulation::Unspent() const {
  return this->result.prepaid - this->spent_before - this->result.spent -
         this->reserved - this->result.stranded;
}

GrantSimulationResult GrantSimulation::Run() {
  const TimePoint end = this->start + this->options.length;
  const double step_s = Seconds(kStep);
  const double crash_probability = this->options.crashes_per_node_day * step_s /
                                   static_cast<double>(kDaySeconds);
  const double restart_probability = this->options.restarts_per_node_day *
                                     step_s / static_cast<double>(kDaySeconds);
  while (this->now < end) {
    this->now += kStep;
    this->FinishRequests();
    // The expected number of requests in a step, one random draw for each.
    double expected = this->options.requests_per_second * step_s;
    for (; expected > 0; expected -= 1) {
      if (this->Chance(std::min(expected, 1.0))) this->GenerateRequest();
    }
    for (const auto& node : this->nodes) {
      if (crash_probability > 0 && this->Chance(crash_probability)) {
        this->CrashNode(*node);
      }
      if (restart_probability > 0 && this->Chance(restart_probability)) {
        node->stopping = true;
      }
      this->TickNode(*node);
    }
    this->DeliverReplies();
  }
  this->result.table_writes = this->table.Writes();
  this->result.hours = Seconds(this->options.length) / 3600;
  return this->result;
}

void GrantSimulation::GenerateRequest() {
  Node& node = *this->nodes[this->random() % this->nodes.size()];
  if (node.stopping) return;
  const auto span = static_cast<std::uint64_t>(kMaxReserved - kMinReserved + 1);
  const std::int64_t amount =
      kMinReserved + static_cast<std::int64_t>(this->random() % span);
  ++this->result.requests;
  if (this->IsPartitioned(node)) ++this->result.partitioned_requests;
  const std::uint64_t reservation = this->next_reservation++;
  node.waiting[reservation] = amount;
  policy::BudgetOutcome outcome;
  const auto verdict =
      node.grants->Reserve(kBudget, amount, reservation, this->now, outcome);
  this->ProcessOutcome(node, outcome);
  if (verdict == policy::ReserveVerdict::kWaiting) return;
  this->ResolveReservation(node, reservation,
                           verdict == policy::ReserveVerdict::kReserved);
}

void GrantSimulation::ResolveReservation(Node& node, std::uint64_t reservation,
                                         bool reserved) {
  const auto found = node.waiting.find(reservation);
  if (found == node.waiting.end()) return;
  const std::int64_t amount = found->second;
  node.waiting.erase(found);
  this->result.signature =
      (this->result.signature ^ (reservation * 2 + (reserved ? 1 : 0))) *
      0x9e3779b97f4a7c15ULL;
  if (!reserved) {
    this->CountRefusal(node, amount);
    return;
  }
  this->reserved += amount;
  this->running.push_back(RunningRequest{this->now + kRequestDuration,
                                         static_cast<std::size_t>(node.index),
                                         node.holder, amount});
}

void GrantSimulation::CountRefusal(const Node& node, std::int64_t amount) {
  if (this->Unspent() < amount) return;
  const auto used =
      static_cast<double>(this->spent_before + this->result.spent);
  if (used > kMaxCountedUsage * static_cast<double>(this->result.prepaid)) {
    return;
  }
  ++this->result.false_refusals;
  if (this->IsPartitioned(node)) ++this->result.partitioned_false_refusals;
}

void GrantSimulation::FinishRequests() {
  while (!this->running.empty() && this->running.front().due_at <= this->now) {
    const RunningRequest ended = this->running.front();
    this->running.pop_front();
    this->reserved -= ended.amount;
    Node& node = *this->nodes[ended.node];
    if (node.holder != ended.holder) continue;  // counted at the crash
    const std::int64_t used = ended.amount * 2 / 5;
    this->result.spent += used;
    node.grants->Settle(kBudget, ended.amount, used, this->now);
  }
}

void GrantSimulation::TickNode(Node& node) {
  policy::BudgetOutcome outcome;
  node.grants->OnTick(this->now, outcome);
  const bool drained = node.stopping && node.waiting.empty() &&
                       std::none_of(this->running.begin(), this->running.end(),
                                    [&](const RunningRequest& request) {
                                      return request.holder == node.holder;
                                    });
  if (drained) node.grants->ReturnAll(this->now, outcome);
  this->ProcessOutcome(node, outcome);
  if (!drained || !node.grants->AllReturned()) return;
  ++this->result.restarts;
  this->result.stranded_by_restarts +=
      this->table.GrantOf(kBudget, node.holder) - node.grants->Spent(kBudget);
  this->StartManager(node);
}

void GrantSimulation::ProcessOutcome(Node& node,
                                     policy::BudgetOutcome& outcome) {
  for (const policy::TableCommand& command : outcome.commands) {
    Reply reply{this->now + kTableLatency,
                static_cast<std::size_t>(node.index),
                node.holder,
                {}};
    if (!this->IsPartitioned(node)) {
      reply.reply = this->table.Execute(node.holder, command);
    } else if (const auto* write = std::get_if<policy::WriteGrant>(&command)) {
      reply.reply = policy::GrantWritten{kBudget, TableStatus::kUnavailable,
                                         write->operation};
    } else {
      policy::BudgetRead read;
      read.budget = kBudget;
      reply.reply = read;
    }
    this->replies.push_back(std::move(reply));
  }
  for (const policy::WaiterOutcome& waiter : outcome.waiters) {
    this->ResolveReservation(node, waiter.reservation, waiter.reserved);
  }
}

// A reply may lead to further commands, whose replies are delivered in the same
// step.
void GrantSimulation::DeliverReplies() {
  while (!this->replies.empty()) {
    const Reply reply = std::move(this->replies.front());
    this->replies.pop_front();
    Node& node = *this->nodes[reply.node];
    if (node.holder != reply.holder) continue;
    policy::BudgetOutcome outcome;
    if (const auto* read = std::get_if<policy::BudgetRead>(&reply.reply)) {
      node.grants->OnRead(*read, this->now, outcome);
    } else if (const auto* written =
                   std::get_if<policy::GrantWritten>(&reply.reply)) {
      node.grants->OnWritten(*written, this->now, outcome);
    }
    this->ProcessOutcome(node, outcome);
  }
}

// The unspent rest of the node's grant is stranded. Running requests still use
// their tokens.
void GrantSimulation::CrashNode(Node& node) {
  ++this->result.crashes;
  std::int64_t used_by_running = 0;
  for (const RunningRequest& request : this->running) {
    if (request.holder != node.holder) continue;
    used_by_running += request.amount * 2 / 5;
  }
  this->result.spent += used_by_running;
  this->result.stranded += this->table.GrantOf(kBudget, node.holder) -
                           node.grants->Spent(kBudget) - used_by_running;
  this->StartManager(node);
}

}  // namespace hornbeamspool::bench
