// Detects crashed upstreams by probes and shares crash notices with the other
// gateways: by datagram at once, and by a row of the store for VMs that the
// datagrams do not reach and for this VM's next process.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "gateway/paced_row.h"
#include "gateway/poison_part_sync.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/crash_records.h"
#include "policy/seen_crash_records.h"
#include "policy/upstream_directory.h"
#include "policy/upstream_selector.h"
#include "transport/crash_message.h"

namespace hornbeamspool::gateway {

class CrashWatch {
 public:
  CrashWatch(const Context& context, platform::StoreClient& store,
             std::string vm);
  CrashWatch(const CrashWatch&) = delete;
  CrashWatch& operator=(const CrashWatch&) = delete;

  // Begins to follow the table of crash records.
  void Start();
  // Whether the records of all VMs, the previous process of this VM included,
  // have been read.
  bool Ready() const { return this->table_read; }
  // A send to the upstream failed. Probes the upstream's address if the answer
  // broke off: a refused connection proves that the upstream crashed.
  void OnSendFailed(const policy::UpstreamEntry& upstream,
                    policy::SendOutcome outcome);
  // Handles a crash notice of another gateway.
  void OnMessage(const transport::CrashMessage& message);
  // The store was restored from an older copy, where this VM's rows may lack
  // records.
  void OnRestored() {
    this->row_outdated = true;
    this->parts.OnRestored();
  }
  // Handles another gateway's records about poison parts.
  void OnPartRecords(std::span<const policy::PoisonPartRecord> records) {
    this->parts.OnMessage(records);
  }
  // Forgets what has timed out. Called periodically, since it looks at all that
  // is known.
  void Expire() { this->parts.Expire(); }
  // Sends the notices that are due, and writes this VM's row if it is outdated.
  void PublishNotices();

 private:
  http::Task<void> Probe(policy::UpstreamEntry upstream);
  void OnRows(const std::vector<platform::StoreRow>& rows);
  void OnRow(const platform::StoreRow& row);
  void ApplyNotice(const policy::CrashNotice& notice, std::string_view source,
                   coordination::TimePoint seen_at);
  void LogNotice(const policy::CrashNotice& notice, std::string_view source);
  std::string EncodeRecords(coordination::TimePoint now);

  Context context;
  std::string vm;
  PacedRow row;
  PoisonPartSync parts;
  platform::TableFollower table;
  policy::CrashRecords records;           // that this VM's row is to hold
  policy::SeenCrashRecords seen_records;  // of all VMs' rows
  bool table_read = false;
  bool row_outdated = false;  // `records` changed since the last write
};

}  // namespace hornbeamspool::gateway
