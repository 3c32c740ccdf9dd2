#include "hornbeamspool/budget_admin.h"

#include <map>
#include <utility>

#include "hornbeamspool/ledger_rows.h"
#include "http/task.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;
using platform::TableOutcome;
using platform::WriteAction;

// Limit of attempts when other writers of the budget keep causing conflicts.
constexpr int kMaxAttempts = 20;

// Adds a top-up in one transaction. Fails with kConflict if the budget row has
// changed since `row` was read, which happens when a node draws a grant.
http::Task<TableOutcome> TryTopUp(platform::ItemTable& table,
                                  const std::string& budget,
                                  std::int64_t tokens, const std::string& id,
                                  const platform::Item* row) {
  coordination::EscrowLedger ledger;
  std::int64_t version = 0;
  if (row != nullptr) {
    ledger = rows::DecodeLedger(*row);
    version = row->Number(rows::kVersion);
  }
  ledger.total += tokens;
  WriteAction top_up;
  top_up.item.key = rows::TopUpKey(budget, id);
  top_up.item.attributes["tokens"] = tokens;
  top_up.condition = rows::RowAbsent();
  WriteAction change;
  change.item = rows::EncodeBudget(ledger, version + 1);
  change.item.key = rows::BudgetKey(budget);
  change.condition = row == nullptr
                         ? rows::RowAbsent()
                         : rows::AttributeEquals(rows::kVersion, version);
  std::vector<WriteAction> actions{std::move(top_up), std::move(change)};
  const auto outcome = co_await table.Transact(
      std::move(actions), budget + '#' + id + '#' + std::to_string(version));
  co_return outcome.outcome;
}

}  // namespace

http::Task<AdminOutcome> AddToBudget(platform::ItemTable& table,
                                     std::string budget, std::int64_t tokens,
                                     std::string id, bool create) {
  for (int i = 0; i < kMaxAttempts; ++i) {
    const auto before = co_await table.Get(rows::TopUpKey(budget, id));
    if (before.outcome != TableOutcome::kOk) {
      co_return AdminOutcome::kUnavailable;
    }
    if (before.item) {
      const bool same = before.item->Number("tokens") == tokens;
      co_return same ? AdminOutcome::kAlreadyDone : AdminOutcome::kConflict;
    }
    const auto row = co_await table.Get(rows::BudgetKey(budget));
    if (row.outcome != TableOutcome::kOk) co_return AdminOutcome::kUnavailable;
    if (!row.item && !create) co_return AdminOutcome::kNotFound;
    if (row.item && create) co_return AdminOutcome::kConflict;
    const TableOutcome outcome = co_await TryTopUp(
        table, budget, tokens, id, row.item ? &*row.item : nullptr);
    if (outcome == TableOutcome::kOk) co_return AdminOutcome::kDone;
    if (outcome == TableOutcome::kUnavailable) {
      co_return AdminOutcome::kUnavailable;
    }
    // A conflict or a lost response: the next iteration reads the top-up row to
    // see whether the change was applied.
  }
  co_return AdminOutcome::kConflict;
}

http::Task<BudgetReport> GetBudgetReport(platform::ItemTable& table,
                                         std::string budget) {
  BudgetReport report;
  const auto query =
      co_await table.Query(rows::BudgetKey(budget).partition, "");
  if (query.outcome != TableOutcome::kOk) co_return report;
  report.outcome = AdminOutcome::kNotFound;
  std::map<std::string, HolderGrant> holders;
  for (const platform::Item& item : query.items) {
    const std::string& sort = item.key.sort;
    const std::size_t separator = sort.find('#');
    const std::string kind = sort.substr(0, separator);
    if (kind == "budget") {
      report.outcome = AdminOutcome::kDone;
      report.ledger = rows::DecodeLedger(item);
      continue;
    }
    if (separator == std::string::npos) continue;
    const std::string holder = sort.substr(separator + 1);
    if (kind == "grant") {
      holders[holder].granted = item.Number(rows::kGranted);
    } else if (kind == "settled") {
      holders[holder].spent = item.Number(rows::kSpent);
      report.spent += holders[holder].spent;
    }
  }
  for (auto& [name, grant] : holders) {
    grant.holder = name;
    report.holders.push_back(std::move(grant));
  }
  co_return report;
}

http::Task<BillReport> ListBills(platform::ItemTable& table,
                                 std::string organisation, std::string key) {
  BillReport report;
  policy::Bill partition_bill;
  partition_bill.organisation = organisation;
  const auto query =
      co_await table.Query(rows::BillKey(partition_bill).partition, key);
  if (query.outcome != TableOutcome::kOk) co_return report;
  report.outcome = AdminOutcome::kDone;
  for (const platform::Item& item : query.items) {
    report.bills.push_back(
        BillLine{item.Text("request_key"), item.Text("request_id"),
                 item.Text("budget"), item.Text("service"),
                 item.Text("version"), item.Number("prompt_tokens"),
                 item.Number("completion_tokens"), item.Number("amount")});
  }
  co_return report;
}

}  // namespace hornbeamspool
