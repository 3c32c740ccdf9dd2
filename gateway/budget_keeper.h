// Carries the budgets' limits to the store and back. Each organisation has a
// part of the store's tables to itself, and a call of its own; calls run side
// by side.
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

class BudgetKeeper {
 public:
  BudgetKeeper(const Context& context, platform::StoreClient& store,
               std::string vm);
  BudgetKeeper(const BudgetKeeper&) = delete;
  BudgetKeeper& operator=(const BudgetKeeper&) = delete;

  void Start();
  // Something is due: looks at once.
  void Kick() { this->timer.cancel(); }

 private:
  http::Task<void> Run();
  void StartCalls(coordination::TimePoint now);
  void NotePredecessors();
  http::Task<void> ReadHoldings();
  http::Task<void> ReadRows(std::string organisation);
  http::Task<void> WriteRows(policy::BudgetRows rows);
  http::Task<bool> NoteHolding(std::string organisation);
  void OnCallEnded(bool answered);
  std::optional<policy::BudgetRows> Collect(
      std::span<const platform::StoreRow> rows,
      std::string_view organisation) const;
  std::int64_t HeldElsewhere(std::span<const platform::StoreRow> rows) const;
  void TakeRows(std::span<const platform::StoreRow> rows,
                std::string_view organisation);
  void LogLimits(const policy::BudgetRows& rows);
  void LogFailure(std::string_view organisation, std::string_view outcome);
  std::string ShareKey() const;

  Context context;
  platform::StoreClient* store;
  std::string vm;
  http::Timer timer;
  std::size_t outstanding = 0;  // calls
  coordination::TimePoint paused_until{};
  bool holdings_known = false;
  // Organisations of which this VM has, or may have, a share in the store.
  std::set<std::string, std::less<>> holdings;
  // Of these, what a predecessor may have left and nobody has read yet.
  std::set<std::string, std::less<>> inherited;
};

}  // namespace hornbeamspool::gateway
