// Shares the records about poison parts with the other gateways, by datagram
// and by a row of the store, and logs what is named and cleared.
#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "gateway/paced_row.h"
#include "platform/store_client.h"
#include "policy/poison_part_record.h"
#include "policy/store_clock.h"

namespace hornbeamspool::gateway {

class PoisonPartSync {
 public:
  // Writes to `table`, with keys that begin with kKeyPrefix.
  PoisonPartSync(const Context& context, platform::StoreClient& store,
                 std::string table, const std::string& vm);
  PoisonPartSync(const PoisonPartSync&) = delete;
  PoisonPartSync& operator=(const PoisonPartSync&) = delete;

  static constexpr std::string_view kKeyPrefix = "parts/";

  // Forgets what has timed out, and reports the gauges.
  void Expire();
  // Sends the records that are due, and writes this VM's row if it is outdated
  // and `may_write`.
  void Publish(const policy::StoreClock& clock, bool may_write);
  // The store may lack records: the row is written again.
  void OnRestored() { this->written.clear(); }
  // Handles records of another gateway.
  void OnMessage(std::span<const policy::PoisonPartRecord> records);
  // Handles a row of a gateway, or that of this VM's previous process.
  void OnRow(const platform::StoreRow& row, const policy::StoreClock& clock);

 private:
  void LogRecord(const policy::PoisonPartRecord& record,
                 std::string_view source);
  void LogChanges();

  Context context;
  std::string key;
  PacedRow row;
  std::vector<policy::PoisonPartRecord> written;  // that the row holds
};

}  // namespace hornbeamspool::gateway
