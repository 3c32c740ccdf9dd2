// A fake of the store at the interface of commands and replies, with
// switches that break its conditions on purpose.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/table_messages.h"

namespace hornbeamspool::bench {

// Each switch removes one condition, so that a test can see the invariants
// catch its absence.
struct TableMutation {
  bool ignore_budget_version = false;
  bool ignore_bill_condition = false;
  bool ignore_intent_condition = false;
  bool reclaim_suspect_grants = false;  // carried out by the world
};

struct BillRow {
  std::string writer;  // holder and sequence
  std::string budget;
  std::int64_t amount = 0;
  std::int64_t write_count =
      0;  // above 1 only when the row's condition is broken
};

struct BudgetRow {
  coordination::EscrowLedger ledger;
  std::int64_t version = 1;
};

struct IntentRow {
  std::string writer;  // holder and reservation
  std::uint64_t fingerprint = 0;
  bool answered = false;
  policy::RecordedAnswer answer;
};

// The name under which a request is billed.
std::string BillRowKey(std::string_view organisation, std::string_view key,
                       std::uint64_t fingerprint);

class FakeTable {
 public:
  explicit FakeTable(TableMutation mutation) : mutation(mutation) {}

  void TopUp(const std::string& budget, std::int64_t tokens);

  // Carries out a command of `holder` and returns the reply.
  policy::TableReply Execute(const std::string& holder,
                             const policy::TableCommand& command);

  // Gives what is left of a dead holder's grant back to its budget.
  void Reclaim(const std::string& holder, std::string_view budget,
               std::int64_t unspent);

  const std::map<std::string, BudgetRow>& Budgets() const {
    return this->budgets;
  }
  const std::map<std::string, BillRow>& Bills() const { return this->bills; }
  // Keys billed since the last call.
  std::vector<std::string> TakeNewBills() {
    return std::exchange(this->new_bills, {});
  }
  std::int64_t GrantOf(const std::string& budget,
                       const std::string& holder) const;
  std::int64_t Writes() const { return this->writes; }
  std::int64_t Reads() const { return this->reads; }

 private:
  policy::BudgetRead Read(const std::string& holder,
                          const policy::ReadBudget& read);
  policy::GrantWritten Write(const std::string& holder,
                             const policy::WriteGrant& write);
  policy::IntentCommitted Commit(const std::string& holder,
                                 const policy::CommitIntent& commit);
  policy::BatchWritten Settle(const std::string& holder,
                              const policy::WriteBatch& batch);

  using GrantKey = std::pair<std::string, std::string>;  // budget, holder

  TableMutation mutation;
  std::map<std::string, BudgetRow> budgets;
  std::map<GrantKey, std::int64_t> grants;
  std::map<std::string, BillRow> bills;
  std::vector<std::string> new_bills;
  std::map<std::string, IntentRow> intents;
  std::int64_t writes = 0;
  std::int64_t reads = 0;
};

}  // namespace hornbeamspool::bench
