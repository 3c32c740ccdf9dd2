// Operators' requests on budgets and bills. Each change has an id chosen by the
// operator, which makes it idempotent.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "coordination/escrow.h"
#include "http/task.h"
#include "platform/item_table.h"

namespace hornbeamspool {

enum class AdminOutcome : std::uint8_t {
  kDone,
  kAlreadyDone,  // a change with this id was applied before
  kNotFound,
  kConflict,     // the budget exists, the id was used with another amount, or
                 // every attempt met a concurrent write
  kUnavailable,  // the store did not answer; repeat with the same id
  kCount
};

// The grant of one router process. Amounts are in tokens.
struct HolderGrant {
  std::string holder;
  std::int64_t granted = 0;
  std::int64_t spent = 0;
};

struct BudgetReport {
  AdminOutcome outcome = AdminOutcome::kUnavailable;
  coordination::EscrowLedger ledger;
  std::int64_t spent = 0;  // by all holders, as written to the store
  std::vector<HolderGrant> holders;
};

struct BillLine {
  std::string request_key;
  std::string request_id;
  std::string budget;
  std::string service;
  std::string version;
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
  std::int64_t amount = 0;
};

struct BillReport {
  AdminOutcome outcome = AdminOutcome::kUnavailable;
  std::vector<BillLine> bills;
};

// Adds `tokens` to an existing budget, or to a new one if `create`.
http::Task<AdminOutcome> AddToBudget(platform::ItemTable& table,
                                     std::string budget, std::int64_t tokens,
                                     std::string id, bool create);

// Reads a budget's ledger and the grants of its holders.
http::Task<BudgetReport> GetBudgetReport(platform::ItemTable& table,
                                         std::string budget);

// Reads the bills of an organisation whose request key starts with `key`.
http::Task<BillReport> ListBills(platform::ItemTable& table,
                                 std::string organisation, std::string key);

}  // namespace hornbeamspool
