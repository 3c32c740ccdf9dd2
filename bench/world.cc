#include "bench/world.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "bench/world_parts.h"

namespace hornbeamspool::bench {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::CompletionOutcome;
using policy::TableStatus;

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr std::int64_t kOrderPrice = 7;
constexpr std::int64_t kMaxTokens = 400;
// What admission adds to a prompt for the engine's template.
constexpr std::int64_t kTemplateTokens = 64;

std::string BudgetName(std::int64_t index) {
  return "budget-" + std::to_string(index);
}

policy::FleetConfig MakeConfig(std::int64_t budgets) {
  policy::FleetConfig config;
  policy::WorkClass work_class;
  work_class.name = "class";
  work_class.targets.first_token = std::chrono::seconds(1);
  work_class.targets.deadline = std::chrono::seconds(60);
  config.classes.push_back(work_class);
  policy::Organisation organisation;
  organisation.name = kOrganisation;
  organisation.classes = {work_class.name};
  for (std::int64_t i = 0; i < budgets; ++i) {
    organisation.keys.push_back({"key-" + std::to_string(i), BudgetName(i)});
  }
  config.organisations.push_back(organisation);
  policy::Model model;
  model.name = "model";
  model.service = "model";
  model.default_max_tokens = kMaxTokens / 2;
  model.limit_max_tokens = kMaxTokens;
  config.models.push_back(model);
  policy::PlainRoute route;
  route.prefix = "/orders";
  route.service = "desk";
  route.price_tokens = kOrderPrice;
  route.calls.push_back({{"POST"}, false, true});
  config.routes.push_back(route);
  return config;
}

std::vector<policy::ListedUpstream> MakeUpstreams() {
  std::vector<policy::ListedUpstream> listed;
  for (const char* name : {"model-1", "model-2", "model-3"}) {
    listed.push_back({name, "model", "", "zone", "address", false});
  }
  for (const char* name : {"desk-1", "desk-2"}) {
    listed.push_back({name, "desk", "", "zone", "address", false});
  }
  return listed;
}

}  // namespace

World::World(WorldOptions options)
    : options(options),
      random(options.seed),
      table(options.mutation),
      now(std::chrono::hours(1)),
      config(MakeConfig(options.budgets)) {
  for (std::int64_t i = 0; i < options.budgets; ++i) {
    this->table.TopUp(BudgetName(i), options.prepaid);
  }
  for (std::int64_t i = 0; i < options.nodes; ++i) {
    auto node = std::make_unique<Node>();
    node->index = i;
    this->StartNode(*node);
    this->nodes.push_back(std::move(node));
  }
}

World::~World() = default;

std::int64_t World::Draw(std::int64_t least, std::int64_t most) {
  const auto span = static_cast<std::uint64_t>(most - least + 1);
  return least + static_cast<std::int64_t>(this->random() % span);
}

bool World::Chance(double share) {
  constexpr std::int64_t kParts = 1'000'000;
  return this->Draw(0, kParts - 1) <
         static_cast<std::int64_t>(share * static_cast<double>(kParts));
}

void World::Fail(std::string text) {
  if (this->result.violation.empty()) this->result.violation = std::move(text);
}

void World::Sign(std::uint64_t value) {
  this->result.signature =
      (this->result.signature ^ value) * 0x9e3779b97f4a7c15ULL;
  this->result.signature ^= this->result.signature >> 29U;
}

WorldResult World::Run() {
  for (std::int64_t i = 0; i < this->options.steps; ++i) {
    this->Step(true);
    if (!this->result.violation.empty()) return this->result;
  }
  this->Drain();
  for (const auto& [name, row] : this->table.Budgets()) {
    this->result.prepaid += row.ledger.total;
    this->result.spent += this->SpendOf(name);
  }
  this->result.table_writes = this->table.Writes();
  return this->result;
}

void World::Step(bool faults) {
  this->now += kStep;
  if (faults && this->Chance(this->options.fault_rate)) this->BringFault();
  if (faults) this->RestartSome();
  if (faults && this->Chance(0.5)) this->SendRequest();
  if (!this->callers.empty() && this->Chance(0.3)) {
    const Caller caller = this->callers.back();
    this->callers.pop_back();
    this->Repeat(caller);
  }
  this->Deliver();
  this->FinishWork();
  this->Tick();
  this->Check();
}

void World::BringFault() {
  Node& node = *this->nodes[static_cast<std::size_t>(
      this->Draw(0, this->options.nodes - 1))];
  constexpr std::int64_t kKinds = 6;
  switch (this->Draw(0, kKinds - 1)) {
    case 0:
      this->KillNode(node);
      break;
    case 1:
      node.paused_until =
          this->now + std::chrono::milliseconds(this->Draw(50, 3000));
      break;
    case 2:
      node.cut_until =
          this->now + std::chrono::milliseconds(this->Draw(50, 3000));
      break;
    case 3:
      this->table_down_until =
          this->now + std::chrono::milliseconds(this->Draw(50, 1000));
      break;
    case 4:
      this->table.TopUp(BudgetName(this->Draw(0, this->options.budgets - 1)),
                        this->Draw(1, this->options.prepaid / 10));
      break;
    default:
      // Another start of the same node follows at once.
      this->KillNode(node);
      if (node.router == nullptr) this->StartNode(node);
      break;
  }
}

// Dead nodes come back after a while.
void World::RestartSome() {
  constexpr double kRestartChance = 0.02;
  for (const auto& node : this->nodes) {
    if (node->router != nullptr || !this->Chance(kRestartChance)) continue;
    this->StartNode(*node);
  }
}

// A start of a node: nothing is remembered of the one before.
void World::StartNode(Node& node) {
  ++node.starts;
  node.holder =
      "node-" + std::to_string(node.index) + '@' + std::to_string(node.starts);
  policy::RouterOptions router_options;
  router_options.availability_zone = "zone";
  node.router = std::make_unique<policy::Router>(router_options);
  policy::Outbox outbox;
  node.router->SetConfig(1, this->config, outbox);
  const auto upstreams = MakeUpstreams();
  node.router->SetUpstreams(upstreams, outbox);
  node.router->SetHolders(this->options.nodes);
}

void World::KillNode(Node& node) {
  if (node.router == nullptr) return;
  ++this->result.deaths;
  if (this->options.mutation.reclaim_dead_grants) {
    // The unsafe way: what the holder has not reported as spent goes back,
    // although it may be running still.
    for (const auto& [budget, figures] : node.router->AllStats()) {
      this->table.Reclaim(node.holder, budget, figures.granted - figures.spent);
    }
    node.paused_until = this->now + std::chrono::seconds(2);
    return;
  }
  node.router.reset();
  // Its callers see the connection end, and ask again.
  for (const Work& work : this->works) {
    if (work.holder != node.holder || work.admitted.address.empty()) continue;
    // What its upstreams run for it is used up, billed or not.
    const std::int64_t tokens = work.request.kind == policy::RequestKind::kPlain
                                    ? kOrderPrice
                                    : work.request.prompt_bytes +
                                          kTemplateTokens +
                                          work.admitted.max_tokens;
    this->NoteRun(work.budget, work.request.request_key, tokens);
    this->callers.push_back(Caller{work.request});
  }
  std::erase_if(this->works,
                [&](const Work& work) { return work.holder == node.holder; });
  std::erase_if(this->owed_bills,
                [&](const auto& owed) { return owed.second == node.holder; });
}

void World::SendRequest() {
  policy::AdmissionRequest request;
  const std::int64_t budget = this->Draw(0, this->options.budgets - 1);
  request.key_digest = "key-" + std::to_string(budget);
  request.request_key = "request-" + std::to_string(this->next_request++);
  request.fingerprint = kFingerprint;
  if (this->Chance(0.3)) {
    request.kind = policy::RequestKind::kPlain;
    request.target = "/orders";
    request.method = "POST";
  } else {
    request.target = "model";
    request.prompt_bytes = this->Draw(1, 200);
    request.max_tokens = this->Draw(1, kMaxTokens);
  }
  ++this->result.requests;
  this->Repeat(Caller{request});
  // An impatient caller sends the same key twice.
  if (this->Chance(0.1)) this->Repeat(Caller{request});
}

void World::Repeat(const Caller& caller) {
  Node& node = *this->nodes[static_cast<std::size_t>(
      this->Draw(0, this->options.nodes - 1))];
  if (node.router == nullptr || this->now < node.paused_until) return;
  this->Submit(node, caller.request);
}

void World::Submit(Node& node, const policy::AdmissionRequest& request) {
  policy::AdmissionRequest sent = request;
  sent.correlation_id = this->next_correlation_id++;
  sent.request_id = node.holder + '-' + std::to_string(sent.correlation_id);
  policy::Outbox outbox;
  // Remembered until the reply comes: it holds only the correlation id.
  this->works.push_back(Work{TimePoint::max(),
                             static_cast<std::size_t>(node.index),
                             node.holder,
                             sent,
                             {},
                             {}});
  node.router->OnRequest(sent, this->now, outbox);
  this->Absorb(node, outbox);
}

void World::Absorb(Node& node, policy::Outbox& outbox) {
  for (policy::TableCommand& command : outbox.commands) {
    this->Carry(node, std::move(command));
  }
  for (const policy::AdmissionReply& reply : outbox.replies) {
    this->Take(node, reply);
  }
}

// An answer of the decisions: the upstream begins, or the caller is told.
void World::Take(Node& node, const policy::AdmissionReply& reply) {
  const auto found = std::find_if(
      this->works.begin(), this->works.end(), [&](const Work& work) {
        return work.holder == node.holder &&
               work.request.correlation_id == reply.correlation_id;
      });
  if (found == this->works.end()) return;
  Work& work = *found;
  work.budget = BudgetName(std::stoll(work.request.key_digest.substr(4)));
  this->Sign(reply.verdict.index() + 1);
  if (const auto* admitted = std::get_if<policy::Admitted>(&reply.verdict)) {
    work.admitted = *admitted;
    work.due = this->now + std::chrono::milliseconds(this->Draw(0, 800));
    if (!admitted->repeatable) {
      // The first byte of the order goes out here.
      const std::int64_t sends = ++this->order_sends[work.request.request_key];
      if (sends > 1) {
        this->Fail("order sent twice: " + work.request.request_key);
      }
    }
    return;
  }
  if (const auto* refused = std::get_if<policy::Refused>(&reply.verdict)) {
    ++this->result.refused;
    ++this->result.refusals[std::string(policy::AnswerFor(refused->kind).name)];
    this->Sign(static_cast<std::uint64_t>(refused->kind));
    const bool for_budget =
        refused->kind == policy::ErrorKind::kBudgetExhausted ||
        refused->kind == policy::ErrorKind::kBudgetUnavailable;
    const std::int64_t worst = kMaxTokens * 2;
    if (for_budget && this->Unreserved(work.budget) > worst) {
      ++this->result.false_refusals;
    }
  }
  this->works.erase(found);
}

void World::Carry(Node& node, policy::TableCommand command) {
  Flight flight;
  flight.due = this->now + std::chrono::milliseconds(this->Draw(0, 60));
  flight.node = static_cast<std::size_t>(node.index);
  flight.holder = node.holder;
  flight.command = std::move(command);
  if (!this->draining && this->Chance(this->options.lost_answer_rate)) {
    flight.lose_answer = true;
    // The request may arrive long after the sender has given up.
    if (this->Chance(0.5)) {
      Flight late = flight;
      late.due = this->now + std::chrono::milliseconds(this->Draw(0, 4000));
      this->flights.push_back(std::move(late));
      flight.command = policy::ReadBudget{"nothing"};
    }
  }
  this->flights.push_back(std::move(flight));
}

namespace {

// What a sender is told when it does not learn how its command ended.
policy::TableReply UnansweredReply(const policy::TableCommand& command,
                                   TableStatus status) {
  if (const auto* read = std::get_if<policy::ReadBudget>(&command)) {
    policy::BudgetRead reply;
    reply.budget = read->budget;
    return reply;
  }
  if (const auto* write = std::get_if<policy::WriteGrant>(&command)) {
    policy::GrantWritten reply;
    reply.budget = write->budget;
    reply.operation = write->operation;
    reply.status = status;
    return reply;
  }
  if (const auto* commit = std::get_if<policy::CommitIntent>(&command)) {
    policy::IntentCommitted reply;
    reply.reservation = commit->reservation;
    reply.status = status;
    return reply;
  }
  policy::BatchWritten reply;
  reply.status = status;
  return reply;
}

}  // namespace

// Delivers what is due, in an order that differs from that of the sending.
void World::Deliver() {
  std::vector<Flight> due;
  for (auto next = this->flights.begin(); next != this->flights.end();) {
    const Node& node = *this->nodes[next->node];
    const bool held = next->is_reply && this->now < node.paused_until;
    if (next->due > this->now || held) {
      ++next;
      continue;
    }
    due.push_back(std::move(*next));
    next = this->flights.erase(next);
  }
  std::shuffle(due.begin(), due.end(), this->random);
  for (Flight& flight : due) {
    Node& node = *this->nodes[flight.node];
    if (flight.is_reply) {
      if (node.router == nullptr || node.holder != flight.holder) continue;
      policy::Outbox outbox;
      node.router->OnTableReply(flight.reply, this->now, outbox);
      this->Absorb(node, outbox);
      continue;
    }
    const bool cut =
        this->now < node.cut_until || this->now < this->table_down_until;
    Flight answer = flight;
    answer.is_reply = true;
    answer.due = this->now + std::chrono::milliseconds(this->Draw(0, 60));
    answer.reply =
        cut ? UnansweredReply(flight.command, TableStatus::kUnavailable)
            : this->table.Carry(flight.holder, flight.command);
    if (flight.lose_answer) {
      answer.reply = UnansweredReply(flight.command, TableStatus::kUnknown);
    }
    this->flights.push_back(std::move(answer));
  }
}

void World::FinishWork() {
  for (std::size_t i = 0; i < this->works.size();) {
    Work& work = this->works[i];
    Node& node = *this->nodes[work.node];
    const bool gone = node.router == nullptr || node.holder != work.holder;
    if (gone) {
      this->callers.push_back(Caller{work.request});
      this->works.erase(this->works.begin() + static_cast<std::ptrdiff_t>(i));
      continue;
    }
    if (work.due > this->now || this->now < node.paused_until) {
      ++i;
      continue;
    }
    Work ended = work;
    this->works.erase(this->works.begin() + static_cast<std::ptrdiff_t>(i));
    this->EndWork(node, ended);
  }
}

// An upstream ends: whole, broken, or it fails before anything was shown.
void World::EndWork(Node& node, Work& work) {
  policy::Outbox outbox;
  const bool order = work.request.kind == policy::RequestKind::kPlain;
  if (!this->draining && this->Chance(0.15)) {
    policy::RetryRequest retry;
    retry.correlation_id = this->next_correlation_id++;
    retry.reservation = work.admitted.reservation;
    retry.reached = this->Chance(0.5);
    if (!retry.reached && order) {
      --this->order_sends[work.request.request_key];
    }
    // A failed upstream may have used the tokens all the same; the
    // reservation covers one run, so only what is shown is counted.
    work.due = TimePoint::max();
    work.request.correlation_id = retry.correlation_id;
    this->works.push_back(work);
    node.router->OnRetry(retry, this->now, outbox);
    this->Absorb(node, outbox);
    return;
  }
  policy::Completion completion;
  completion.reservation = work.admitted.reservation;
  completion.outcome = this->Chance(0.1)
                           ? CompletionOutcome::kCallerDisconnected
                           : CompletionOutcome::kDelivered;
  completion.usage_known = true;
  if (!order) {
    completion.prompt_tokens = 1;
    completion.completion_tokens = this->Draw(1, work.admitted.max_tokens);
  }
  completion.answer.status = 200;
  const std::int64_t used =
      order ? kOrderPrice
            : completion.prompt_tokens + completion.completion_tokens;
  this->NoteRun(work.budget, work.request.request_key, used);
  this->owed_bills[work.request.request_key] = node.holder;
  ++this->result.whole;
  this->Sign(static_cast<std::uint64_t>(used));
  node.router->OnCompletion(completion, this->now, outbox);
  this->Absorb(node, outbox);
}

void World::Tick() {
  for (const auto& node : this->nodes) {
    if (node->router == nullptr || this->now < node->paused_until) continue;
    policy::Outbox outbox;
    node->router->OnTick(this->now, outbox);
    this->Absorb(*node, outbox);
  }
}

}  // namespace hornbeamspool::bench
