#include "hornbeamspool/table_worker.h"

#include <array>
#include <charconv>
#include <utility>
#include <variant>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/ledger_rows.h"
#include "http/task.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using platform::ItemKey;
using platform::TableOutcome;
using platform::WriteAction;
using policy::TableStatus;

// Indexed by TableOutcome.
constexpr std::array<TableStatus,
                     static_cast<std::size_t>(TableOutcome::kCount)>
    kStatuses{TableStatus::kOk, TableStatus::kConflict,
              TableStatus::kUnavailable, TableStatus::kUnknown};

TableStatus StatusOf(TableOutcome outcome) {
  return kStatuses.at(static_cast<std::size_t>(outcome));
}

WriteAction Put(ItemKey key, platform::Item item,
                platform::Condition condition = {}) {
  WriteAction action;
  action.item = std::move(item);
  action.item.key = std::move(key);
  action.condition = std::move(condition);
  return action;
}

}  // namespace

TableWorker::TableWorker(platform::ItemTable& table, std::string holder,
                         Metrics& metrics)
    : table(&table), holder(std::move(holder)), metrics(&metrics) {}

http::Task<policy::TableReply> TableWorker::Execute(
    policy::TableCommand command) {
  const coordination::TimePoint started = Now();
  policy::TableReply reply;
  if (auto* read = std::get_if<policy::ReadBudget>(&command)) {
    reply = co_await this->ReadBudget(std::move(*read));
  } else if (auto* write = std::get_if<policy::WriteGrant>(&command)) {
    reply = co_await this->WriteGrant(std::move(*write));
  } else if (auto* commit = std::get_if<policy::CommitIntent>(&command)) {
    reply = co_await this->CommitIntent(std::move(*commit));
  } else if (auto* batch = std::get_if<policy::WriteBatch>(&command)) {
    reply = co_await this->WriteBatch(std::move(*batch));
  }
  this->metrics->Add(Counter::kTableCalls);
  this->metrics->Observe(Timing::kTableCall, Now() - started);
  co_return reply;
}

std::string TableWorker::OperationId(std::uint64_t number) const {
  return this->holder + '#' + std::to_string(number);
}

// ItemTable::Transact itself retries after a lost response, so there is no
// retry here.
http::Task<platform::TransactOutcome> TableWorker::Transact(
    std::vector<WriteAction> actions, std::string operation) {
  platform::TransactOutcome outcome =
      co_await this->table->Transact(std::move(actions), std::move(operation));
  if (outcome.outcome == TableOutcome::kUnknown) {
    this->metrics->Add(Counter::kTableFailures);
  }
  co_return outcome;
}

http::Task<policy::TableReply> TableWorker::ReadBudget(
    policy::ReadBudget read) {
  policy::BudgetRead reply;
  reply.budget = read.budget;
  // This node's grant is read before the budget row. If a grant is written
  // between the two reads, the reply combines the old grant with the new
  // version of the budget. The next WriteGrant is conditional on both rows, so
  // it fails because of the outdated grant.
  const auto grant =
      co_await this->table->Get(rows::GrantKey(read.budget, this->holder));
  const auto budget = co_await this->table->Get(rows::BudgetKey(read.budget));
  if (grant.outcome != TableOutcome::kOk ||
      budget.outcome != TableOutcome::kOk) {
    co_return reply;
  }
  if (grant.item) reply.grant = grant.item->Number(rows::kGranted);
  if (!budget.item) {
    reply.status = TableStatus::kNotFound;
    co_return reply;
  }
  reply.status = TableStatus::kOk;
  reply.ledger = rows::DecodeLedger(*budget.item);
  reply.version = budget.item->Number(rows::kVersion);
  co_return reply;
}

http::Task<policy::TableReply> TableWorker::WriteGrant(
    policy::WriteGrant write) {
  policy::GrantWritten reply;
  reply.budget = write.budget;
  reply.operation = write.operation;
  const auto next = write.ledger.AfterGrant(write.amount);
  if (!next) {
    reply.status = TableStatus::kConflict;
    co_return reply;
  }
  platform::Item grant;
  grant.attributes[std::string(rows::kGranted)] =
      write.grant_before + write.amount;
  grant.attributes["holder"] = this->holder;
  std::vector<WriteAction> actions;
  actions.push_back(Put(rows::BudgetKey(write.budget),
                        rows::EncodeBudget(*next, write.version + 1),
                        rows::AttributeEquals(rows::kVersion, write.version)));
  const auto condition =
      write.grant_before == 0
          ? rows::AttributeAbsentOrEquals(rows::kGranted, std::int64_t{0})
          : rows::AttributeEquals(rows::kGranted, write.grant_before);
  actions.push_back(Put(rows::GrantKey(write.budget, this->holder),
                        std::move(grant), condition));
  const auto outcome = co_await this->Transact(
      std::move(actions), this->OperationId(write.operation) + "#grant");
  reply.status = StatusOf(outcome.outcome);
  co_return reply;
}

http::Task<policy::TableReply> TableWorker::CommitIntent(
    policy::CommitIntent commit) {
  policy::IntentCommitted reply;
  reply.reservation = commit.reservation;
  const std::string operation = this->OperationId(commit.reservation);
  platform::Item intent;
  intent.attributes[std::string(rows::kOperation)] = operation;
  intent.attributes["fingerprint"] = std::to_string(commit.fingerprint);
  intent.attributes["state"] = "intent";
  std::vector<WriteAction> actions;
  actions.push_back(
      Put(rows::IntentKey(commit.organisation, commit.request_key),
          std::move(intent), rows::RowAbsent()));
  const auto outcome =
      co_await this->Transact(std::move(actions), operation + "#intent");
  reply.status = StatusOf(outcome.outcome);
  if (outcome.outcome != TableOutcome::kConflict) co_return reply;
  if (outcome.failed.empty() || !outcome.failed.front().found) {
    reply.status = TableStatus::kUnavailable;
    co_return reply;
  }
  const platform::Item& found = *outcome.failed.front().found;
  // This operation wrote the row, but the response was lost.
  if (found.Text(rows::kOperation) == operation) {
    reply.status = TableStatus::kOk;
    co_return reply;
  }
  // A fingerprint that can't be read is another request's.
  const std::string fingerprint = found.Text("fingerprint");
  std::from_chars(fingerprint.data(), fingerprint.data() + fingerprint.size(),
                  reply.fingerprint);
  reply.answered = found.Text("state") == "answered";
  reply.answer.status = static_cast<std::uint16_t>(found.Number("status"));
  reply.answer.content_type = found.Text("content_type");
  reply.answer.body = found.Text("body");
  co_return reply;
}

// The change to the intent row of an order that has ended: deleted, or replaced
// by the recorded answer.
WriteAction TableWorker::IntentWriteAction(
    const policy::Settlement& entry) const {
  const std::string operation = this->OperationId(entry.order.reservation);
  const ItemKey key =
      rows::IntentKey(entry.order.organisation, entry.order.request_key);
  if (entry.intent == policy::IntentChange::kRelease) {
    WriteAction action;
    action.kind = WriteAction::Kind::kDelete;
    action.item.key = key;
    action.condition =
        rows::AttributeAbsentOrEquals(rows::kOperation, operation);
    return action;
  }
  platform::Item item;
  item.attributes = {{std::string(rows::kOperation), operation},
                     {"fingerprint", std::to_string(entry.order.fingerprint)},
                     {"state", std::string("answered")},
                     {"status", static_cast<std::int64_t>(entry.answer.status)},
                     {"content_type", entry.answer.content_type},
                     {"body", entry.answer.body}};
  return Put(key, std::move(item),
             rows::AttributeEquals(rows::kOperation, operation));
}

http::Task<policy::TableReply> TableWorker::WriteBatch(
    policy::WriteBatch batch) {
  std::vector<WriteAction> actions;
  // The settlement of each action that writes a bill; null for other actions.
  std::vector<const policy::Settlement*> bill_settlements;
  for (const policy::Settlement& entry : batch.settlements) {
    if (entry.has_bill) {
      actions.push_back(
          Put(rows::BillKey(entry.bill),
              rows::EncodeBill(entry.bill, this->OperationId(entry.sequence)),
              rows::RowAbsent()));
      bill_settlements.push_back(&entry);
    }
    if (entry.intent == policy::IntentChange::kNone) continue;
    actions.push_back(this->IntentWriteAction(entry));
    bill_settlements.push_back(nullptr);
  }
  for (const policy::SpentTotal& total : batch.totals) {
    platform::Item item;
    item.attributes[std::string(rows::kSpent)] = total.spent;
    actions.push_back(
        Put(rows::SettledKey(total.budget, this->holder), std::move(item)));
    bill_settlements.push_back(nullptr);
  }
  const auto outcome = co_await this->Transact(
      std::move(actions), this->OperationId(this->next_batch++) + "#settle");
  policy::BatchWritten reply;
  reply.status = StatusOf(outcome.outcome);
  for (const platform::FailedCondition& failed : outcome.failed) {
    if (failed.action >= bill_settlements.size()) continue;
    const policy::Settlement* settlement = bill_settlements[failed.action];
    if (settlement == nullptr) continue;
    const bool own =
        failed.found && failed.found->Text(rows::kOperation) ==
                            this->OperationId(settlement->sequence);
    (own ? reply.already_written : reply.duplicates)
        .push_back(settlement->sequence);
  }
  co_return reply;
}

}  // namespace hornbeamspool
