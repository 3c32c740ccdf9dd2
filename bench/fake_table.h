// An in-memory fake of the store's tables for the simulations.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/table_messages.h"

namespace hornbeamspool::bench {

// Deliberate faults for mutation testing. Each removes one condition of a
// transaction, so that a test can show that an invariant check detects it.
struct TableMutation {
  bool ignore_budget_version = false;
  bool ignore_bill_condition = false;
  bool ignore_intent_condition = false;
  // Returns grants of routers that only seem to have crashed. Implemented by
  // RouterSimulation.
  bool reclaim_suspect_grants = false;
};

struct BillRow {
  std::string writer;  // holder and sequence number
  std::string budget;
  std::int64_t amount = 0;
  std::int64_t write_count = 0;  // above 1 only if the condition is removed
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

// The key of the row with a request's bill.
std::string BillRowKey(std::string_view organisation, std::string_view key,
                       std::uint64_t fingerprint);

// Executes table commands in memory, with the conditions of the real store.
// Budgets and amounts are in tokens.
class FakeTable {
 public:
  explicit FakeTable(TableMutation mutation) : mutation(mutation) {}

  // Adds prepaid tokens to a budget, and creates it if necessary.
  void TopUp(const std::string& budget, std::int64_t tokens);

  // Executes a command of the router `holder`.
  policy::TableReply Execute(const std::string& holder,
                             const policy::TableCommand& command);

  // Returns the unspent part of a holder's grant to the budget.
  void Reclaim(const std::string& holder, std::string_view budget,
               std::int64_t unspent);

  const std::map<std::string, BudgetRow>& Budgets() const {
    return this->budgets;
  }
  const std::map<std::string, BillRow>& Bills() const { return this->bills; }
  // Keys of the bill rows written since the last call.
  std::vector<std::string> TakeNewBills() {
    return std::exchange(this->new_bills, {});
  }
  // Tokens of the budget that are granted to `holder`.
  std::int64_t GrantOf(const std::string& budget,
                       const std::string& holder) const;
  // Rows written, and rows read.
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
