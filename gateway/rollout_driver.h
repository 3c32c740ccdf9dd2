// Follows the operator's rollout orders and the rollouts' progress, reports
// what this VM observed, and drives a rollout while this VM is its driver.
//
// The driver decides on a rollout's phase and holds a lease that each write of
// the progress renews. Progress is one row for each service. It is written
// together with the status that the operator reads, on condition that both rows
// still have the versions that were read: the write of a driver that was
// replaced or is late fails.
#pragma once

#include <map>
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

  // Whether the progress of all ordered rollouts has been read. Before that,
  // the new version of a completed rollout would get no requests.
  bool Ready() const { return !this->started || this->progress_read; }

  // A row with an order of a rollout was written or removed.
  void OnOrder(const platform::StoreRow& row);
  // The store was restored from an older copy: the outcome of a rollout may be
  // missing there, and the operator writes its orders again.
  void OnRestored();

 private:
  // The known versions of a service's rows; 0: no such row.
  struct RowVersions {
    std::uint64_t progress = 0;
    std::uint64_t status = 0;
    std::uint64_t report = 0;  // of this VM
  };

  void StartOnce();
  void OnProgress(const std::vector<platform::StoreRow>& rows);
  http::Task<void> Run();
  http::Task<void> Update(std::string service);
  http::Task<void> WriteReport(std::string service);
  http::Task<void> Drive(std::string service);
  http::Task<std::optional<std::vector<policy::RolloutReport>>> ReadReports(
      std::string service);
  http::Task<void> WriteProgress(std::string service,
                                 policy::RolloutProgress progress);
  bool MayDrive(const std::string& service,
                const policy::VersionRollouts::Rollout& rollout) const;
  std::int64_t MsSinceOrder(const std::string& service) const;
  void ApplyProgress(const std::string& service,
                     const policy::RolloutProgress& progress);
  void ApplyProgressRow(const platform::StoreRow& row);
  void MergeReportRow(const std::string& service,
                      const platform::StoreRow& row);
  void LogEvidence(const std::string& service, policy::RolloutPhase phase,
                   std::span<const policy::RolloutReport> reports);
  void LogUnreadableRow(const platform::StoreRow& row);

  Context context;
  platform::StoreClient* store;
  PeerChannel* channel;
  platform::TableFollower progress_table;
  std::map<std::string, RowVersions> row_versions;             // by service
  std::map<std::string, coordination::TimePoint> ordered_at;   // by service
  std::map<std::string, coordination::TimePoint> next_report;  // by service
  std::set<std::string> unwritten;  // services whose outcome may be missing
  std::optional<coordination::TimePoint> restored_at;
  bool started = false;        // an order has been seen
  bool progress_read = false;  // the whole table has been read
};

}  // namespace hornbeamspool::gateway
