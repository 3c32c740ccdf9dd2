// What operators do with budgets: create, top up, show. Each change carries an
// id of the operator's, so that repeating it changes nothing.
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
  kAlreadyDone,  // the same id was carried out before
  kNotFound,
  kConflict,     // exists with other figures, or changed too often
  kUnavailable,  // the table did not answer; repeat with the same id
  kCount
};

struct HolderGrant {
  std::string holder;
  std::int64_t granted = 0;
  std::int64_t spent = 0;
};

struct BudgetReport {
  AdminOutcome outcome = AdminOutcome::kUnavailable;
  coordination::EscrowLedger ledger;
  std::int64_t spent = 0;  // settled by all holders
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

// Adds `tokens` to a budget; creates it first when `create`.
http::Task<AdminOutcome> AddToBudget(platform::ItemTable& table,
                                     std::string budget, std::int64_t tokens,
                                     std::string id, bool create);

http::Task<BudgetReport> GetBudgetReport(platform::ItemTable& table,
                                         std::string budget);

// Bills of an organisation whose request key starts with `key`.
http::Task<BillReport> ListBills(platform::ItemTable& table,
                                 std::string organisation, std::string key);

}  // namespace hornbeamspool
