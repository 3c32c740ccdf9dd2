// Executes the router's table commands on the store.
#pragma once

#include <string>
#include <vector>

#include "hornbeamspool/metrics.h"
#include "http/task.h"
#include "platform/item_table.h"
#include "policy/table_messages.h"

namespace hornbeamspool {

// Maps table commands to transactions on rows and the results to replies. Each
// transaction has a unique operation name, so that a lost response is resolved
// by that name or by reading the row, never by writing something new.
class TableWorker {
 public:
  // `holder` identifies this process; a restarted node uses another name.
  TableWorker(platform::ItemTable& table, std::string holder, Metrics& metrics);

  // Executes one command. Commands may run concurrently.
  http::Task<policy::TableReply> Execute(policy::TableCommand command);

 private:
  http::Task<policy::TableReply> ReadBudget(policy::ReadBudget read);
  http::Task<policy::TableReply> WriteGrant(policy::WriteGrant write);
  http::Task<policy::TableReply> CommitIntent(policy::CommitIntent commit);
  http::Task<policy::TableReply> WriteBatch(policy::WriteBatch batch);
  http::Task<platform::TransactOutcome> Transact(
      std::vector<platform::WriteAction> actions, std::string operation);

  std::string OperationId(std::uint64_t number) const;
  platform::WriteAction IntentWriteAction(
      const policy::Settlement& entry) const;

  platform::ItemTable* table;
  std::string holder;
  Metrics* metrics;
  std::uint64_t next_batch = 1;
};

}  // namespace hornbeamspool
