// A row of the store that only this VM writes, at most twice a second, so that
// an outage with many crashes causes few writes.
#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"

namespace hornbeamspool::gateway {

class PacedRow {
 public:
  // `task` names the writes in the log.
  PacedRow(const Context& context, platform::StoreClient& store,
           std::string task, std::string table, std::string key);
  PacedRow(const PacedRow&) = delete;
  PacedRow& operator=(const PacedRow&) = delete;

  // Whether no write is in flight, and the last one began long enough ago.
  bool MayWrite(coordination::TimePoint now) const;
  // Starts a write. Calls `on_failed` unless the value is known to be stored.
  void Write(std::string value, coordination::TimePoint now,
             std::function<void()> on_failed);

 private:
  static constexpr coordination::Duration kWriteInterval =
      std::chrono::milliseconds(500);

  http::Task<void> Run(std::string value, std::function<void()> on_failed);

  Context context;
  platform::StoreClient* store;
  std::string task;
  std::string table;
  std::string key;
  bool writing = false;
  coordination::TimePoint written_at{};  // start of the last write
};

}  // namespace hornbeamspool::gateway
