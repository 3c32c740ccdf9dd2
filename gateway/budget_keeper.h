// Carries the budgets' limits to the store and back.
#pragma once

#include <boost/asio/io_context.hpp>
#include <span>
#include <string>
#include <vector>

#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "policy/budget_desk.h"

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
  http::Task<bool> ReadRows();
  http::Task<bool> WriteRows(std::vector<policy::BudgetRows> rows);
  std::vector<policy::BudgetRows> Collect(
      std::span<const platform::StoreRow> rows,
      std::span<const std::string> organisations) const;
  void LogLimits(const std::vector<policy::BudgetRows>& rows);
  std::string ShareKey(std::string_view organisation) const;

  Context context;
  platform::StoreClient* store;
  std::string vm;
  http::Timer timer;
};

}  // namespace hornbeamspool::gateway
