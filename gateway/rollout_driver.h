// Carries moves between versions: follows the operator's orders and the moves'
// progress, reports what this VM saw, and drives a rollout where this VM is the
// one to do so.
//
// Progress is one row for each service, written under the condition of its
// version together with the status that the operator reads: a driver that was
// replaced, or that comes late, changes nothing.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/version_rollout.h"

namespace hornbeamspool::gateway {

class PeerChannel;

class RolloutDriver {
 public:
  RolloutDriver(const Context& context, platform::StoreClient& store,
                PeerChannel& channel);
  RolloutDriver(const RolloutDriver&) = delete;
  RolloutDriver& operator=(const RolloutDriver&) = delete;

  // Whether it is known how far the ordered moves have come: before that, a
  // version that a rollout has completed to would get nothing.
  bool Ready() const { return !this->begun || this->progress_known; }

  // A row of the operator's table that orders a rollout, or no longer does.
  void OnOrder(const platform::StoreRow& row);

 private:
  // What is known of the rows that the driver of a rollout writes.
  struct Rows {
    std::uint64_t progress_version = 0;
    std::uint64_t status_version = 0;
    std::uint64_t report_version = 0;  // of this VM's report
    coordination::TimePoint ordered_at{};
  };

  void Begin();
  void OnProgress(const std::vector<platform::StoreRow>& rows);
  http::Task<void> Run();
  http::Task<void> Step(std::string service);
  http::Task<void> Report(std::string service);
  http::Task<void> Drive(std::string service);
  http::Task<std::optional<std::vector<policy::RolloutReport>>> ReadReports(
      std::string service);
  http::Task<void> WriteProgress(std::string service,
                                 policy::RolloutProgress progress);
  bool IsToDrive(const std::string& service,
                 const policy::VersionRollouts::Rollout& rollout) const;
  void TakeProgress(const std::string& service,
                    const policy::RolloutProgress& progress);
  void TakeProgressRow(const platform::StoreRow& row);
  void TakeLeftReport(const std::string& service,
                      const platform::StoreRow& row);
  void LogUnreadable(const platform::StoreRow& row);

  Context context;
  platform::StoreClient* store;
  PeerChannel* channel;
  platform::TableFollower progress_table;
  std::map<std::string, Rows> rows;  // by service
  bool begun = false;                // an order has been seen
  bool progress_known = false;       // the table has been read whole
};

}  // namespace hornbeamspool::gateway
