// Finds out which upstreams went down, and carries what is known of the
// requests that they had in hand to the other gateways: by datagram at once,
// and by a row of the store for those that no datagram reaches.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/crash_news.h"
#include "policy/crash_records.h"
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

  void Start();
  // What the other gateways and the predecessor have left was read.
  bool Ready() const { return this->known; }
  // A send to the upstream has failed. Where its answer broke off, the upstream
  // is asked whether it is still there.
  void OnSendFailed(const policy::UpstreamEntry& upstream,
                    policy::SendOutcome outcome);
  void OnMessage(const transport::CrashMessage& message);
  // Tells what is due.
  void Tell();

 private:
  http::Task<void> Probe(policy::UpstreamEntry upstream);
  http::Task<void> Keep();
  void OnRows(const std::vector<platform::StoreRow>& rows);
  void OnRow(const platform::StoreRow& row);
  void Learn(const policy::CrashNotice& notice, std::string_view source,
             coordination::TimePoint seen_at);
  void Log(const policy::CrashNotice& notice, std::string_view source);
  std::string EncodeRecords(coordination::TimePoint now);

  Context context;
  platform::StoreClient* store;
  std::string vm;
  platform::TableFollower table;
  policy::CrashRecords records;
  policy::CrashNews news;  // in the other gateways' rows
  bool known = false;
  bool changed = false;  // the row is older than the records
  bool keeping = false;  // a write is out
  coordination::TimePoint kept_at{};
};

}  // namespace hornbeamspool::gateway
