#include "bench/router_simulation.h"

#include <algorithm>
#include <array>
#include <utility>
#include <variant>

#include "bench/router_simulation_parts.h"

namespace hornbeamspool::bench {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::CompletionOutcome;
using policy::TableStatus;

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr std::int64_t kOrderPrice = 7;
constexpr std::int64_t kMaxTokens = 400;
// Tokens that admission adds to a prompt for the engine's template.
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

RouterSimulation::RouterSimulation(RouterSimulationOptions options)
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

RouterSimulation::~RouterSimulation() = default;

std::int64_t RouterSimulation::RandomInteger(std::int64_t min,
                                             std::int64_t max) {
  const auto span = static_cast<std::uint64_t>(max - min + 1);
  return min + static_cast<std::int64_t>(this->random() % span);
}

bool RouterSimulation::Chance(double probability) {
  constexpr std::int64_t kScale = 1'000'000;
  return this->RandomInteger(0, kScale - 1) <
         static_cast<std::int64_t>(probability * static_cast<double>(kScale));
}

void RouterSimulation::ReportViolation(std::string text) {
  if (this->result.violation.empty()) this->result.violation = std::move(text);
}

void RouterSimulation::UpdateSignature(std::uint64_t value) {
  this->result.signature =
      (this->result.signature ^ value) * 0x9e3779b97f4a7c15ULL;
  this->result.signature ^= this->result.signature >> 29U;
}

RouterSimulationResult RouterSimulation::Run() {
  for (std::int64_t i = 0; i < this->options.steps; ++i) {
    this->Step(true);
    if (!this->result.violation.empty()) return this->result;
  }
  this->Drain();
  for (const auto& [name, row] : this->table.Budgets()) {
    this->result.prepaid += row.ledger.total;
    this->result.spent += this->SpentTokens(name);
  }
  this->result.table_writes = this->table.Writes();
  return this->result;
}

void RouterSimulation::Step(bool faults) {
  this->now += kStep;
  if (faults && this->Chance(this->options.fault_rate)) this->InjectFault();
  if (faults) this->RestartCrashedNodes();
  if (faults && this->Chance(0.5)) this->SendNewRequest();
  if (!this->pending_retries.empty() && this->Chance(0.3)) {
    const policy::AdmissionRequest retry = this->pending_retries.back();
    this->pending_retries.pop_back();
    this->SendToRandomNode(retry);
  }
  this->DeliverMessages();
  this->FinishRequests();
  this->TickRouters();
  this->CheckInvariants();
}

void RouterSimulation::InjectFault() {
  Node& node = *this->nodes[static_cast<std::size_t>(
      this->RandomInteger(0, this->options.nodes - 1))];
  constexpr std::int64_t kFaultKinds = 6;
  switch (this->RandomInteger(0, kFaultKinds - 1)) {
    case 0:
      this->CrashNode(node);
      break;
    case 1:
      node.paused_until =
          this->now + std::chrono::milliseconds(this->RandomInteger(50, 3000));
      break;
    case 2:
      node.partitioned_until =
          this->now + std::chrono::milliseconds(this->RandomInteger(50, 3000));
      break;
    case 3:
      this->table_down_until =
          this->now + std::chrono::milliseconds(this->RandomInteger(50, 1000));
      break;
    case 4:
      this->table.TopUp(
          BudgetName(this->RandomInteger(0, this->options.budgets - 1)),
          this->RandomInteger(1, this->options.prepaid / 10));
      break;
    default:
      // The node restarts at once.
      this->CrashNode(node);
      if (node.router == nullptr) this->StartNode(node);
      break;
  }
}

// Restarts crashed nodes after a random delay.
void RouterSimulation::RestartCrashedNodes() {
  constexpr double kRestartChance = 0.02;
  for (const auto& node : this->nodes) {
    if (node->router != nullptr || !this->Chance(kRestartChance)) continue;
    this->StartNode(*node);
  }
}

// Starts a new incarnation of a node, without any state of the previous one.
void RouterSimulation::StartNode(Node& node) {
  ++node.start_count;
  node.holder = "node-" + std::to_string(node.index) + '@' +
                std::to_string(node.start_count);
  policy::RouterOptions router_options;
  router_options.availability_zone = "zone";
  node.router = std::make_unique<policy::Router>(router_options);
  policy::Outbox outbox;
  node.router->SetConfig(1, this->config, outbox);
  const auto upstreams = MakeUpstreams();
  node.router->SetUpstreams(upstreams, outbox);
  node.router->SetHolders(this->options.nodes);
}

void RouterSimulation::CrashNode(Node& node) {
  if (node.router == nullptr) return;
  ++this->result.crashes;
  if (this->options.mutation.reclaim_suspect_grants) {
    // Unsafe: returns the tokens that the holder has not reported as spent,
    // although it is only paused and may still spend them.
    for (const auto& [budget, stats] : node.router->AllStats()) {
      this->table.Reclaim(node.holder, budget, stats.granted - stats.spent);
    }
    node.paused_until = this->now + std::chrono::seconds(2);
    return;
  }
  node.router.reset();
  // Its callers see a closed connection and retry.
  for (const ActiveRequest& run : this->active_requests) {
    if (run.holder != node.holder || run.admitted.address.empty()) continue;
    // The upstreams use the tokens, whether or not they are billed.
    const std::int64_t tokens = run.request.kind == policy::RequestKind::kPlain
                                    ? kOrderPrice
                                    : run.request.prompt_bytes +
                                          kTemplateTokens +
                                          run.admitted.max_tokens;
    this->RecordSpending(run.budget, run.request.request_key, tokens);
    this->pending_retries.push_back(run.request);
  }
  std::erase_if(this->active_requests, [&](const ActiveRequest& run) {
    return run.holder == node.holder;
  });
  std::erase_if(this->expected_bills, [&](const auto& expected) {
    return expected.second == node.holder;
  });
}

void RouterSimulation::SendNewRequest() {
  policy::AdmissionRequest request;
  const std::int64_t budget = this->RandomInteger(0, this->options.budgets - 1);
  request.key_digest = "key-" + std::to_string(budget);
  request.request_key = "request-" + std::to_string(this->next_request++);
  request.fingerprint = kFingerprint;
  if (this->Chance(0.3)) {
    request.kind = policy::RequestKind::kPlain;
    request.target = "/orders";
    request.method = "POST";
  } else {
    request.target = "model";
    request.prompt_bytes = this->RandomInteger(1, 200);
    request.max_tokens = this->RandomInteger(1, kMaxTokens);
  }
  ++this->result.requests;
  this->SendToRandomNode(request);
  // A caller may send the same key twice, without waiting for the answer.
  if (this->Chance(0.1)) this->SendToRandomNode(request);
}

void RouterSimulation::SendToRandomNode(
    const policy::AdmissionRequest& request) {
  Node& node = *this->nodes[static_cast<std::size_t>(
      this->RandomInteger(0, this->options.nodes - 1))];
  if (node.router == nullptr || this->now < node.paused_until) return;
  this->Submit(node, request);
}

void RouterSimulation::Submit(Node& node,
                              const policy::AdmissionRequest& request) {
  policy::AdmissionRequest sent = request;
  sent.correlation_id = this->next_correlation_id++;
  sent.request_id = node.holder + '-' + std::to_string(sent.correlation_id);
  policy::Outbox outbox;
  // Stored until the reply arrives, which has only the correlation id.
  this->active_requests.push_back(
      ActiveRequest{TimePoint::max(),
                    static_cast<std::size_t>(node.index),
                    node.holder,
                    sent,
                    {},
                    {}});
  node.router->OnRequest(sent, this->now, outbox);
  this->ProcessOutbox(node, outbox);
}

void RouterSimulation::ProcessOutbox(Node& node, policy::Outbox& outbox) {
  for (policy::TableCommand& command : outbox.commands) {
    this->SendCommand(node, std::move(command));
  }
  for (const policy::AdmissionReply& reply : outbox.replies) {
    this->HandleReply(node, reply);
  }
}

// Handles an admission reply: starts the upstream, or counts the refusal.
void RouterSimulation::HandleReply(Node& node,
                                   const policy::AdmissionReply& reply) {
  const auto found =
      std::find_if(this->active_requests.begin(), this->active_requests.end(),
                   [&](const ActiveRequest& run) {
                     return run.holder == node.holder &&
                            run.request.correlation_id == reply.correlation_id;
                   });
  if (found == this->active_requests.end()) return;
  ActiveRequest& run = *found;
  run.budget = BudgetName(std::stoll(run.request.key_digest.substr(4)));
  this->UpdateSignature(reply.verdict.index() + 1);
  if (const auto* admitted = std::get_if<policy::Admitted>(&reply.verdict)) {
    run.admitted = *admitted;
    run.due_at =
        this->now + std::chrono::milliseconds(this->RandomInteger(0, 800));
    if (!admitted->repeatable) {
      // The order is sent to the upstream now.
      const std::int64_t sends = ++this->order_sends[run.request.request_key];
      if (sends > 1) {
        this->ReportViolation("order sent twice: " + run.request.request_key);
      }
    }
    return;
  }
  if (const auto* refused = std::get_if<policy::Refused>(&reply.verdict)) {
    ++this->result.refused;
    ++this->result.refusals[std::string(policy::AnswerFor(refused->kind).name)];
    this->UpdateSignature(static_cast<std::uint64_t>(refused->kind));
    const bool for_budget =
        refused->kind == policy::ErrorKind::kBudgetExhausted ||
        refused->kind == policy::ErrorKind::kBudgetUnavailable;
    const std::int64_t max_price = kMaxTokens * 2;
    if (for_budget && this->UnspentTokens(run.budget) > max_price) {
      ++this->result.false_refusals;
    }
  }
  this->active_requests.erase(found);
}

void RouterSimulation::SendCommand(Node& node, policy::TableCommand command) {
  TableMessage message;
  message.due_at =
      this->now + std::chrono::milliseconds(this->RandomInteger(0, 60));
  message.node = static_cast<std::size_t>(node.index);
  message.holder = node.holder;
  message.command = std::move(command);
  if (!this->draining && this->Chance(this->options.lost_answer_rate)) {
    message.outcome_unknown = true;
    // The command may arrive long after the sender has timed out.
    if (this->Chance(0.5)) {
      TableMessage late = message;
      late.due_at =
          this->now + std::chrono::milliseconds(this->RandomInteger(0, 4000));
      this->messages.push_back(std::move(late));
      message.command = policy::ReadBudget{"nothing"};
    }
  }
  this->messages.push_back(std::move(message));
}

namespace {

// The reply to a command whose outcome the sender doesn't learn.
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

// Delivers the messages that are due, in random order.
void RouterSimulation::DeliverMessages() {
  std::vector<TableMessage> due;
  for (auto next = this->messages.begin(); next != this->messages.end();) {
    const Node& node = *this->nodes[next->node];
    const bool held_back = next->is_reply && this->now < node.paused_until;
    if (next->due_at > this->now || held_back) {
      ++next;
      continue;
    }
    due.push_back(std::move(*next));
    next = this->messages.erase(next);
  }
  std::shuffle(due.begin(), due.end(), this->random);
  for (TableMessage& message : due) {
    Node& node = *this->nodes[message.node];
    if (message.is_reply) {
      if (node.router == nullptr || node.holder != message.holder) continue;
      policy::Outbox outbox;
      node.router->OnTableReply(message.reply, this->now, outbox);
      this->ProcessOutbox(node, outbox);
      continue;
    }
    const bool unreachable = this->now < node.partitioned_until ||
                             this->now < this->table_down_until;
    TableMessage answer = message;
    answer.is_reply = true;
    answer.due_at =
        this->now + std::chrono::milliseconds(this->RandomInteger(0, 60));
    answer.reply =
        unreachable
            ? UnansweredReply(message.command, TableStatus::kUnavailable)
            : this->table.Execute(message.holder, message.command);
    if (message.outcome_unknown) {
      answer.reply = UnansweredReply(message.command, TableStatus::kUnknown);
    }
    this->messages.push_back(std::move(answer));
  }
}

void RouterSimulation::FinishRequests() {
  for (std::size_t i = 0; i < this->active_requests.size();) {
    ActiveRequest& run = this->active_requests[i];
    Node& node = *this->nodes[run.node];
    const bool crashed = node.router == nullptr || node.holder != run.holder;
    if (crashed) {
      this->pending_retries.push_back(run.request);
      this->active_requests.erase(this->active_requests.begin() +
                                  static_cast<std::ptrdiff_t>(i));
      continue;
    }
    if (run.due_at > this->now || this->now < node.paused_until) {
      ++i;
      continue;
    }
    ActiveRequest ended = run;
    this->active_requests.erase(this->active_requests.begin() +
                                static_cast<std::ptrdiff_t>(i));
    this->EndRun(node, ended);
  }
}

// Ends a run at an upstream: complete, disconnected by the caller, or failed
// before any output.
void RouterSimulation::EndRun(Node& node, ActiveRequest& run) {
  policy::Outbox outbox;
  const bool is_order = run.request.kind == policy::RequestKind::kPlain;
  if (!this->draining && this->Chance(0.15)) {
    policy::RetryRequest retry;
    retry.correlation_id = this->next_correlation_id++;
    retry.reservation = run.admitted.reservation;
    retry.reached = this->Chance(0.5);
    if (!retry.reached && is_order) {
      --this->order_sends[run.request.request_key];
    }
    // A failed upstream may have used tokens, too. The reservation covers only
    // one run, so only the run that gave the answer is counted.
    run.due_at = TimePoint::max();
    run.request.correlation_id = retry.correlation_id;
    this->active_requests.push_back(run);
    node.router->OnRetry(retry, this->now, outbox);
    this->ProcessOutbox(node, outbox);
    return;
  }
  policy::Completion completion;
  completion.reservation = run.admitted.reservation;
  completion.outcome = this->Chance(0.1)
                           ? CompletionOutcome::kCallerDisconnected
                           : CompletionOutcome::kDelivered;
  completion.usage_known = true;
  if (!is_order) {
    completion.prompt_tokens = 1;
    completion.completion_tokens =
        this->RandomInteger(1, run.admitted.max_tokens);
  }
  completion.answer.status = 200;
  const std::int64_t used =
      is_order ? kOrderPrice
               : completion.prompt_tokens + completion.completion_tokens;
  this->RecordSpending(run.budget, run.request.request_key, used);
  this->expected_bills[run.request.request_key] = node.holder;
  ++this->result.completed;
  this->UpdateSignature(static_cast<std::uint64_t>(used));
  node.router->OnCompletion(completion, this->now, outbox);
  this->ProcessOutbox(node, outbox);
}

void RouterSimulation::TickRouters() {
  for (const auto& node : this->nodes) {
    if (node->router == nullptr || this->now < node->paused_until) continue;
    policy::Outbox outbox;
    node->router->OnTick(this->now, outbox);
    this->ProcessOutbox(*node, outbox);
  }
}

}  // namespace hornbeamspool::bench
