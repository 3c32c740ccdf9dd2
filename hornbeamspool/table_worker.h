// Carries out the decisions' commands on the store. An answer that was lost is
// resolved by the operation's name or by re-reading, never by writing something
// new.
#pragma once

#include <string>
#include <vector>

#include "hornbeamspool/metrics.h"
#include "http/task.h"
#include "platform/item_table.h"
#include "policy/table_messages.h"

namespace hornbeamspool {

class TableWorker {
 public:
  // `holder` names this start of this node; it is never used again.
  TableWorker(platform::ItemTable& table, std::string holder, Metrics& metrics);

  http::Task<policy::TableReply> Execute(policy::TableCommand command);

 private:
  http::Task<policy::TableReply> Read(policy::ReadBudget read);
  http::Task<policy::TableReply> Write(policy::WriteGrant write);
  http::Task<policy::TableReply> Commit(policy::CommitIntent commit);
  http::Task<policy::TableReply> Settle(policy::WriteBatch batch);
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
