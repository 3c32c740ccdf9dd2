#include "bench/budget_day.h"

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
constexpr Duration kTableTime = std::chrono::milliseconds(20);
constexpr Duration kRequestTime = std::chrono::seconds(10);
constexpr std::int64_t kRegions = 3;
constexpr std::int64_t kDaySeconds = 86'400;
// A request reserves its worst case and uses part of it.
constexpr std::int64_t kLeastReserved = 200;
constexpr std::int64_t kMostReserved = 800;
constexpr std::int64_t kMeanUsed = 200;
constexpr const char* kBudget = "budget";
// Refusals after this share of the budget is used are not counted.
constexpr double kCountedShare = 0.99;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

struct BudgetDay::Node {
  std::int64_t index = 0;
  std::int64_t region = 0;
  std::int64_t starts = 0;
  std::string holder;
  std::unique_ptr<policy::GrantManager> grants;
  std::map<std::uint64_t, std::int64_t> waiting;  // reservation to amount
  bool stopping = false;
};

// A request that runs.
struct BudgetDay::Open {
  TimePoint due;
  std::size_t node = 0;
  std::string holder;
  std::int64_t amount = 0;
};

struct BudgetDay::Reply {
  TimePoint due;
  std::size_t node = 0;
  std::string holder;
  policy::TableReply reply;
};

BudgetDay::BudgetDay(DayOptions options)
    : options(options),
      random(options.seed),
      table(Mutation{}),
      start(std::chrono::hours(1)),
      now(start) {
  // A day's demand is prepaid.
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
    this->StartBook(*node);
    this->nodes.push_back(std::move(node));
  }
}

BudgetDay::~BudgetDay() = default;

bool BudgetDay::Chance(double share) {
  constexpr double kScale = 1.0 / 18446744073709551616.0;
  return static_cast<double>(this->random()) * kScale < share;
}

bool BudgetDay::Cut(const Node& node) const {
  if (node.region != 0) return false;
  const Duration since = this->now - this->start;
  return since >= this->options.cut_after &&
         since < this->options.cut_after + this->options.cut_length;
}

void BudgetDay::StartBook(Node& node) {
  ++node.starts;
  node.holder = std::to_string(node.index) + '@' + std::to_string(node.starts);
  node.grants = std::make_unique<policy::GrantManager>(this->options.policy);
  node.grants->SetHolders(kRegions * this->options.nodes_per_region);
  node.waiting.clear();
  node.stopping = false;
}

// What the whole budget could still pay.
std::int64_t BudgetDay::Unspent() const {
  return this->result.prepaid - this->spent_before - this->result.spent -
         this->reserved - this->result.stranded;
}

DayResult BudgetDay::Run() {
  const TimePoint end = this->start + this->options.length;
  const double step_s = Seconds(kStep);
  const double death = this->options.deaths_per_node_day * step_s /
                       static_cast<double>(kDaySeconds);
  const double restart = this->options.restarts_per_node_day * step_s /
                         static_cast<double>(kDaySeconds);
  while (this->now < end) {
    this->now += kStep;
    this->EndOpen();
    // The mean number of requests in a step, one draw for each.
    double due = this->options.requests_per_second * step_s;
    for (; due > 0; due -= 1) {
      if (this->Chance(std::min(due, 1.0))) this->Arrive();
    }
    for (const auto& node : this->nodes) {
      if (death > 0 && this->Chance(death)) this->Die(*node);
      if (restart > 0 && this->Chance(restart)) node->stopping = true;
      this->TickNode(*node);
    }
    this->Deliver();
  }
  this->result.table_writes = this->table.Writes();
  this->result.hours = Seconds(this->options.length) / 3600;
  return this->result;
}

void BudgetDay::Arrive() {
  Node& node = *this->nodes[this->random() % this->nodes.size()];
  if (node.stopping) return;
  const auto span =
      static_cast<std::uint64_t>(kMostReserved - kLeastReserved + 1);
  const std::int64_t amount =
      kLeastReserved + static_cast<std::int64_t>(this->random() % span);
  ++this->result.requests;
  if (this->Cut(node)) ++this->result.cut_requests;
  const std::uint64_t reservation = this->next_reservation++;
  node.waiting[reservation] = amount;
  policy::BudgetOutcome outcome;
  const auto verdict =
      node.grants->Reserve(kBudget, amount, reservation, this->now, outcome);
  this->Absorb(node, outcome);
  if (verdict == policy::ReserveVerdict::kWaiting) return;
  this->Resolve(node, reservation,
                verdict == policy::ReserveVerdict::kReserved);
}

void BudgetDay::Resolve(Node& node, std::uint64_t reservation, bool reserved) {
  const auto found = node.waiting.find(reservation);
  if (found == node.waiting.end()) return;
  const std::int64_t amount = found->second;
  node.waiting.erase(found);
  this->result.signature =
      (this->result.signature ^ (reservation * 2 + (reserved ? 1 : 0))) *
      0x9e3779b97f4a7c15ULL;
  if (!reserved) {
    this->Refuse(node, amount);
    return;
  }
  this->reserved += amount;
  this->open.push_back(Open{this->now + kRequestTime,
                            static_cast<std::size_t>(node.index), node.holder,
                            amount});
}

void BudgetDay::Refuse(const Node& node, std::int64_t amount) {
  if (this->Unspent() < amount) return;
  const auto used =
      static_cast<double>(this->spent_before + this->result.spent);
  if (used > kCountedShare * static_cast<double>(this->result.prepaid)) return;
  ++this->result.false_refusals;
  if (this->Cut(node)) ++this->result.cut_false_refusals;
}

void BudgetDay::EndOpen() {
  while (!this->open.empty() && this->open.front().due <= this->now) {
    const Open ended = this->open.front();
    this->open.pop_front();
    this->reserved -= ended.amount;
    Node& node = *this->nodes[ended.node];
    if (node.holder != ended.holder) continue;  // counted when it died
    const std::int64_t used = ended.amount * 2 / 5;
    this->result.spent += used;
    node.grants->Settle(kBudget, ended.amount, used, this->now);
  }
}

void BudgetDay::TickNode(Node& node) {
  policy::BudgetOutcome outcome;
  node.grants->OnTick(this->now, outcome);
  const bool drained = node.stopping && node.waiting.empty() &&
                       std::none_of(this->open.begin(), this->open.end(),
                                    [&](const Open& request) {
                                      return request.holder == node.holder;
                                    });
  if (drained) node.grants->ReturnAll(this->now, outcome);
  this->Absorb(node, outcome);
  if (!drained || !node.grants->AllReturned()) return;
  ++this->result.restarts;
  this->result.stranded_by_restarts +=
      this->table.GrantOf(kBudget, node.holder) - node.grants->Spent(kBudget);
  this->StartBook(node);
}

void BudgetDay::Absorb(Node& node, policy::BudgetOutcome& outcome) {
  for (const policy::TableCommand& command : outcome.commands) {
    Reply reply{this->now + kTableTime,
                static_cast<std::size_t>(node.index),
                node.holder,
                {}};
    if (!this->Cut(node)) {
      reply.reply = this->table.Carry(node.holder, command);
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
    this->Resolve(node, waiter.reservation, waiter.reserved);
  }
}

// A reply may bring the next command; all that is due within a step is done.
void BudgetDay::Deliver() {
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
    this->Absorb(node, outcome);
  }
}

// What the holder had not spent is lost to the budget. Requests in progress
// use up what they use.
void BudgetDay::Die(Node& node) {
  ++this->result.deaths;
  std::int64_t running = 0;
  for (const Open& request : this->open) {
    if (request.holder != node.holder) continue;
    running += request.amount * 2 / 5;
  }
  this->result.spent += running;
  this->result.stranded += this->table.GrantOf(kBudget, node.holder) -
                           node.grants->Spent(kBudget) - running;
  this->StartBook(node);
}

}  // namespace hornbeamspool::bench
