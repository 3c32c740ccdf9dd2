#include "bench/fake_table.h"

#include <cassert>
#include <set>
#include <variant>

namespace hornbeamspool::bench {
namespace {

using policy::TableStatus;

std::string MakeWriter(const std::string& holder, std::uint64_t number) {
  return holder + '#' + std::to_string(number);
}

std::string RowKeyOf(const policy::Bill& bill) {
  return BillRowKey(bill.organisation, bill.request_key, bill.fingerprint);
}

std::string IntentRowKey(const policy::CommitIntent& commit) {
  return commit.organisation + '/' + commit.request_key;
}

}  // namespace

std::string BillRowKey(std::string_view organisation, std::string_view key,
                       std::uint64_t fingerprint) {
  std::string name(organisation);
  name += '/';
  name += key;
  name += '#';
  name += std::to_string(fingerprint);
  return name;
}

void FakeTable::TopUp(const std::string& budget, std::int64_t tokens) {
  BudgetRow& row = this->budgets[budget];
  row.ledger.total += tokens;
  ++row.version;
}

policy::TableReply FakeTable::Execute(const std::string& holder,
                                      const policy::TableCommand& command) {
  if (const auto* read = std::get_if<policy::ReadBudget>(&command)) {
    return this->Read(holder, *read);
  }
  if (const auto* write = std::get_if<policy::WriteGrant>(&command)) {
    return this->Write(holder, *write);
  }
  if (const auto* commit = std::get_if<policy::CommitIntent>(&command)) {
    return this->Commit(holder, *commit);
  }
  return this->Settle(holder, std::get<policy::WriteBatch>(command));
}

void FakeTable::Reclaim(const std::string& holder, std::string_view budget,
                        std::int64_t unspent) {
  this->budgets[std::string(budget)].ledger.granted -= unspent;
  ++this->budgets[std::string(budget)].version;
  this->grants[{std::string(budget), holder}] -= unspent;
}

std::int64_t FakeTable::GrantOf(const std::string& budget,
                                const std::string& holder) const {
  const auto found = this->grants.find({budget, holder});
  return found == this->grants.end() ? 0 : found->second;
}

policy::BudgetRead FakeTable::Read(const std::string& holder,
                                   const policy::ReadBudget& read) {
  this->reads += 2;
  policy::BudgetRead reply;
  reply.budget = read.budget;
  const auto row = this->budgets.find(read.budget);
  if (row == this->budgets.end()) {
    reply.status = TableStatus::kNotFound;
    return reply;
  }
  reply.status = TableStatus::kOk;
  reply.ledger = row->second.ledger;
  reply.version = row->second.version;
  reply.grant = this->GrantOf(read.budget, holder);
  return reply;
}

policy::GrantWritten FakeTable::Write(const std::string& holder,
                                      const policy::WriteGrant& write) {
  policy::GrantWritten reply;
  reply.budget = write.budget;
  reply.operation = write.operation;
  reply.status = TableStatus::kConflict;
  BudgetRow& row = this->budgets[write.budget];
  std::int64_t& grant = this->grants[{write.budget, holder}];
  const bool version_holds =
      this->mutation.ignore_budget_version || row.version == write.version;
  const bool grant_holds = grant == write.grant_before;
  const auto next = write.ledger.AfterGrant(write.amount);
  if (!version_holds || !grant_holds || !next) return reply;
  this->writes += 2;
  row.ledger = *next;
  row.version = write.version + 1;
  grant = write.grant_before + write.amount;
  reply.status = TableStatus::kOk;
  return reply;
}

policy::IntentCommitted FakeTable::Commit(const std::string& holder,
                                          const policy::CommitIntent& commit) {
  policy::IntentCommitted reply;
  reply.reservation = commit.reservation;
  const std::string writer = MakeWriter(holder, commit.reservation);
  const auto found = this->intents.find(IntentRowKey(commit));
  const bool present = found != this->intents.end() &&
                       found->second.writer != writer &&
                       !this->mutation.ignore_intent_condition;
  if (present) {
    reply.status = TableStatus::kConflict;
    reply.fingerprint = found->second.fingerprint;
    reply.answered = found->second.answered;
    reply.answer = found->second.answer;
    return reply;
  }
  ++this->writes;
  IntentRow row;
  row.writer = writer;
  row.fingerprint = commit.fingerprint;
  this->intents[IntentRowKey(commit)] = row;
  reply.status = TableStatus::kOk;
  return reply;
}

policy::BatchWritten FakeTable::Settle(const std::string& holder,
                                       const policy::WriteBatch& batch) {
  policy::BatchWritten reply;
  std::set<std::string> rows;
  for (const policy::Settlement& entry : batch.settlements) {
    // The real store accepts each row only once in a transaction.
    const bool first_use =
        !entry.has_bill || rows.insert(RowKeyOf(entry.bill)).second;
    assert(first_use);
    if (!first_use || !entry.has_bill || this->mutation.ignore_bill_condition) {
      continue;
    }
    const auto found = this->bills.find(RowKeyOf(entry.bill));
    if (found == this->bills.end()) continue;
    const bool own = found->second.writer == MakeWriter(holder, entry.sequence);
    (own ? reply.already_written : reply.duplicates).push_back(entry.sequence);
  }
  if (!reply.already_written.empty() || !reply.duplicates.empty()) {
    reply.status = TableStatus::kConflict;
    return reply;
  }
  reply.status = TableStatus::kOk;
  for (const policy::Settlement& entry : batch.settlements) {
    if (entry.has_bill) {
      ++this->writes;
      BillRow& bill = this->bills[RowKeyOf(entry.bill)];
      bill.writer = MakeWriter(holder, entry.sequence);
      bill.budget = entry.bill.budget;
      bill.amount = entry.bill.amount;
      ++bill.write_count;
      this->new_bills.push_back(RowKeyOf(entry.bill));
    }
    if (entry.intent == policy::IntentChange::kNone) continue;
    const auto intent = this->intents.find(IntentRowKey(entry.order));
    const bool own =
        intent != this->intents.end() &&
        intent->second.writer == MakeWriter(holder, entry.order.reservation);
    if (!own) continue;
    ++this->writes;
    if (entry.intent == policy::IntentChange::kRelease) {
      this->intents.erase(intent);
      continue;
    }
    intent->second.answered = true;
    intent->second.answer = entry.answer;
  }
  this->writes += static_cast<std::int64_t>(batch.totals.size());
  return reply;
}

}  // namespace hornbeamspool::bench
