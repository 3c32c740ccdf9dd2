// Synchronises this VM's budgets with the store: makes the reads and writes
// that the budgets plan and reports their results. Each organisation's rows are
// in a part of their own and are read and written by separate calls, which run
// concurrently.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "policy/budget_manager.h"

namespace hornbeamspool::gateway {

class BudgetSync {
 public:
  BudgetSync(const Context& context, platform::StoreClient& store,
             std::string vm);
  BudgetSync(const BudgetSync&) = delete;
  BudgetSync& operator=(const BudgetSync&) = delete;

  // Starts the background task that makes the calls.
  void Start();
  // The store was restored from an older copy.
  void OnEra(std::uint64_t era);
  // Checks at once whether a call is due.
  void WakeNow() { this->timer.cancel(); }

 private:
  http::Task<void> Run();
  void StartCalls(coordination::TimePoint now);
  void ReportInherited();
  http::Task<void> ReadHoldings();
  http::Task<void> ReadRows(std::string organisation);
  http::Task<void> WriteRows(policy::BudgetRows rows);
  http::Task<bool> WriteHolding(std::string organisation);
  void OnCallEnded(bool answered);
  std::optional<policy::BudgetRows> DecodeOwnRows(
      std::span<const platform::StoreRow> rows,
      std::string_view organisation) const;
  void AddSharesElsewhere(std::span<const platform::StoreRow> rows,
                          policy::BudgetRows& decoded) const;
  void ApplyRows(std::span<const platform::StoreRow> rows,
                 std::string_view organisation);
  void LogLimits(const policy::BudgetRows& rows);
  void LogFailure(std::string_view organisation, std::string_view outcome);
  std::string ShareKey() const;

  Context context;
  platform::StoreClient* store;
  std::string vm;
  http::Timer timer;
  std::size_t calls_in_flight = 0;
  coordination::TimePoint backoff_until{};
  bool holdings_known = false;
  // Organisations of whose budgets this VM has, or may have, a share in the
  // store.
  std::set<std::string, std::less<>> holdings;
  // Those of them whose share may be an earlier process's and has not been
  // reported to the budgets yet.
  std::set<std::string, std::less<>> inherited;
};

}  // namespace hornbeamspool::gateway
