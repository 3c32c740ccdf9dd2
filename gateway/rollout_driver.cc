#include "gateway/rollout_driver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <utility>

#include "coordination/rendezvous.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/rollout_rows.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "platform/documents.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using platform::StoreRow;
using platform::StoreStatus;
using policy::KeyValue;
using policy::RolloutPhase;
using policy::RolloutProgress;
using policy::RolloutReport;

// One RolloutProgress for each service.
constexpr std::string_view kProgressTable = "version_moves";
// A few parts of rows for each service, with one RolloutReport for each VM: the
// store carries out the writes to one part one after another.
constexpr std::string_view kReportTable = "rollout_reports";

// Interval at which a VM reports and the driver decides. Bad answers stop a
// rollout within two intervals and the time of the calls to the store.
constexpr coordination::Duration kUpdateInterval =
    std::chrono::milliseconds(500);
// The interval near a decision, when the new version gets all requests.
constexpr coordination::Duration kShortUpdateInterval =
    std::chrono::milliseconds(150);

// Parts of the report table for each service, and the writes a second that all
// VMs together may make to them: a tenth of what the stores of large fleets
// carry out.
constexpr std::uint64_t kReportParts = 4;
constexpr std::int64_t kMaxReportsPerSecond = 300;

// The part of the report table with this number.
std::string ReportPart(const std::string& service, std::uint64_t number) {
  return service + '/' + std::to_string(number);
}

// Duration of the driver's lease, from each write of the progress. When it has
// expired, a candidate may take over; after as long again, any VM.
constexpr std::int64_t kDriverLeaseMs = 2000;

// Candidates to drive a rollout: the first VMs in the rendezvous order of its
// service.
constexpr std::size_t kDriverCandidates = 2;

// After a restore of the store, an order for the same version within this time
// is the operator's earlier one, written again.
constexpr coordination::Duration kRepeatedOrderTime = std::chrono::seconds(10);

// The name of the phase in log lines.
std::string_view NameOf(RolloutPhase phase) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(RolloutPhase::kCount)>
      kNames{"trial", "switched", "completed", "taken_back"};
  return kNames.at(static_cast<std::size_t>(phase));
}

bool HasEnded(const policy::VersionRollouts::Rollout& rollout) {
  return rollout.begun && policy::IsFinal(rollout.progress.phase);
}

// Log fields of the answers of one version: ended sends, failures of them, and
// the mean response time.
std::string DescribeStats(std::string_view prefix,
                          const policy::VersionStats& stats) {
  const std::string name(prefix);
  std::string pairs = KeyValue(name + "_answers", stats.answers);
  pairs += ' ' + KeyValue(name + "_failures", stats.failures);
  pairs += ' ' + KeyValue(name + "_unfinished", stats.unfinished.Total());
  pairs +=
      ' ' + KeyValue(name + "_ms",
                     coordination::Milliseconds(stats.times.GeometricMean()));
  return pairs;
}

}  // namespace

RolloutDriver::RolloutDriver(const Context& context,
                             platform::StoreClient& store, PeerChannel& channel)
    : context(context),
      store(&store),
      channel(&channel),
      progress_table(
          *context.io, store, std::string(kProgressTable),
          {[this](const auto& rows) {
             this->OnProgress(rows);
             this->progress_read = true;
           },
           [this](const auto& rows) { this->OnProgress(rows); }, [](bool) {},
           [this](std::string_view fault) {
             LogException(this->context, kProgressTable, fault);
           }}) {}

// The tables are not followed before the first order.
void RolloutDriver::StartOnce() {
  if (std::exchange(this->started, true)) return;
  this->progress_table.Start();
  SpawnBackgroundTask(this->context, "moves", [this] { return this->Run(); });
}

void RolloutDriver::OnOrder(const StoreRow& row) {
  const std::string service = row.key.substr(platform::kRolloutPrefix.size());
  if (row.removed) {
    this->context.core->Rollouts().RemoveOrder(service);
    return;
  }
  auto order = platform::DecodeRolloutOrder(row.value, row.version);
  std::string pairs = KeyValue("service", service);
  if (!order || order->service != service) {
    pairs += ' ' + KeyValue("outcome", "unreadable");
    this->context.log->Write(LogKind::kRollout, pairs, Now());
    return;
  }
  const auto* known = this->context.core->Rollouts().Find(service);
  if (known != nullptr && known->order.revision >= order->revision) return;
  const bool repeated = known != nullptr && this->restored_at &&
                        Now() - *this->restored_at < kRepeatedOrderTime &&
                        known->order.version == order->version;
  if (repeated) return;
  pairs += ' ' + KeyValue("outcome", "ordered");
  pairs += ' ' + KeyValue("version", order->version);
  pairs +=
      ' ' + KeyValue("revision", static_cast<std::int64_t>(order->revision));
  this->context.log->Write(LogKind::kRollout, pairs, Now());
  this->ordered_at[service] = Now();
  this->context.core->Rollouts().SetOrder(std::move(*order));
  this->StartOnce();
}

void RolloutDriver::OnRestored() {
  this->restored_at = Now();
  for (const auto& [service, rollout] : this->context.core->Rollouts().All()) {
    if (HasEnded(rollout)) this->unwritten.insert(service);
  }
}

void RolloutDriver::ApplyProgress(const std::string& service,
                                  const RolloutProgress& progress) {
  policy::VersionRollouts& rollouts = this->context.core->Rollouts();
  const auto* known = rollouts.Find(service);
  const bool same_phase =
      known != nullptr && known->begun &&
      known->progress.order_revision == progress.order_revision &&
      known->progress.phase == progress.phase;
  rollouts.SetProgress(service, progress);
  if (same_phase) return;
  std::string pairs = KeyValue("service", service);
  pairs += ' ' + KeyValue("outcome", NameOf(progress.phase));
  pairs += ' ' + KeyValue("version", progress.version);
  pairs += ' ' + KeyValue("driver", progress.driver);
  this->context.log->Write(LogKind::kRollout, pairs, Now());
}

void RolloutDriver::OnProgress(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    this->row_versions[row.key].progress = row.removed ? 0 : row.version;
    if (!row.removed) this->ApplyProgressRow(row);
  }
}

void RolloutDriver::ApplyProgressRow(const StoreRow& row) {
  const auto progress = DecodeRow<RolloutProgress>(row.value);
  if (!progress) {
    this->LogUnreadableRow(row);
    return;
  }
  if (policy::IsFinal(progress->phase)) this->unwritten.erase(row.key);
  this->ApplyProgress(row.key, *progress);
}

// Logs a row that this build can't decode.
void RolloutDriver::LogUnreadableRow(const StoreRow& row) {
  std::string pairs = KeyValue("outcome", "unreadable_row");
  pairs += ' ' + KeyValue("table", row.table);
  pairs += ' ' + KeyValue("row", row.key);
  this->context.log->Write(LogKind::kRollout, pairs, Now());
}

http::Task<void> RolloutDriver::Run() {
  http::Timer timer(*this->context.io);
  while (true) {
    std::vector<std::string> services;
    coordination::Duration interval = kUpdateInterval;
    for (const auto& [service, rollout] :
         this->context.core->Rollouts().All()) {
      const bool is_open =
          !HasEnded(rollout) || this->unwritten.contains(service);
      if (rollout.order.revision == 0 || !is_open) continue;
      services.push_back(service);
      const std::int64_t store_ms =
          this->context.core->Rollouts().StoreTime(Now());
      const bool is_near = rollout.begun && !HasEnded(rollout) &&
                           policy::IsDecisionNear(rollout.progress, store_ms);
      if (is_near) interval = kShortUpdateInterval;
    }
    // The interval is from begin to begin: the calls to the store are part of
    // it.
    timer.expires_after(interval);
    for (const std::string& service : services) {
      co_await this->Update(service);
    }
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> RolloutDriver::Update(std::string service) {
  if (Now() >= this->next_report[service]) {
    const auto vms =
        static_cast<std::int64_t>(this->channel->Directory().Size()) + 1;
    this->next_report[service] =
        Now() + std::chrono::milliseconds(1000 * vms / kMaxReportsPerSecond);
    co_await this->WriteReport(service);
  }
  const auto* rollout = this->context.core->Rollouts().Find(service);
  if (rollout == nullptr || !this->MayDrive(service, *rollout)) co_return;
  co_await this->Drive(service);
}

// Writes the report even if it is unchanged: the answer carries the store's
// clock and shows that the store is reachable.
http::Task<void> RolloutDriver::WriteReport(std::string service) {
  const auto* rollout = this->context.core->Rollouts().Find(service);
  if (rollout == nullptr) co_return;
  StoreRow row;
  row.table = kReportTable;
  row.key = this->channel->Vm();
  row.partition =
      ReportPart(service, coordination::StableHash(row.key) % kReportParts);
  row.value =
      EncodeRow(this->context.core->Rollouts().ReportAt(service, Now()));
  row.version = this->row_versions[service].report;
  const std::vector<StoreRow> rows{std::move(row)};
  const platform::StoreResponse answer = co_await this->store->Write(rows);
  if (answer.status == StoreStatus::kConflict) {
    this->row_versions[service].report =
        answer.rows.empty() ? 0 : answer.rows.front().version;
    if (!answer.rows.empty()) {
      this->MergeReportRow(service, answer.rows.front());
    }
  }
  if (answer.status != StoreStatus::kOk) co_return;
  this->row_versions[service].report = answer.version;
  this->context.core->Rollouts().SetStoreClock(answer.store_ms, Now());
}

// Merges the row that was found in place of this VM's report. It is of an
// earlier process, or of this one if the outcome of a write was unknown.
void RolloutDriver::MergeReportRow(const std::string& service,
                                   const StoreRow& row) {
  const auto report = DecodeRow<RolloutReport>(row.value);
  if (!report) {
    this->LogUnreadableRow(row);
    return;
  }
  this->context.core->Rollouts().MergePredecessorReport(service, *report);
}

// Whether this VM is the driver or may take over. A new order has no driver:
// the candidates may begin at once, and any VM after the duration of a lease.
bool RolloutDriver::MayDrive(
    const std::string& service,
    const policy::VersionRollouts::Rollout& rollout) const {
  const coordination::TimePoint now = Now();
  if (!this->context.core->Rollouts().IsStoreClockFresh(now)) return false;
  const std::int64_t store_ms = this->context.core->Rollouts().StoreTime(now);
  const RolloutProgress& progress = rollout.progress;
  if (rollout.begun && progress.driver == this->channel->Vm()) return true;
  if (rollout.begun && store_ms < progress.driver_lease_until_ms) return false;
  // All VMs must compute the same candidates, those of other builds too, so the
  // prefix must not change.
  const std::vector<std::string> candidates = this->channel->Directory().VmsFor(
      "move/" + service, kDriverCandidates, now);
  if (std::find(candidates.begin(), candidates.end(), this->channel->Vm()) !=
      candidates.end()) {
    return true;
  }
  if (rollout.begun) {
    return store_ms > progress.driver_lease_until_ms + kDriverLeaseMs;
  }
  return this->MsSinceOrder(service) > kDriverLeaseMs;
}

// Time since this VM has known the service's order.
std::int64_t RolloutDriver::MsSinceOrder(const std::string& service) const {
  return coordination::Milliseconds(Now() - this->ordered_at.at(service));
}

http::Task<std::optional<std::vector<RolloutReport>>>
RolloutDriver::ReadReports(std::string service) {
  std::vector<StoreRow> rows;
  for (std::uint64_t part = 0; part < kReportParts; ++part) {
    const platform::KeyRange all{{}, {}, ReportPart(service, part)};
    platform::StoreResponse answer =
        co_await this->store->Read(std::string(kReportTable), all);
    if (answer.status != StoreStatus::kOk) co_return std::nullopt;
    this->context.core->Rollouts().SetStoreClock(answer.store_ms, Now());
    std::move(answer.rows.begin(), answer.rows.end(), std::back_inserter(rows));
  }
  const auto* rollout = this->context.core->Rollouts().Find(service);
  std::vector<RolloutReport> reports;
  for (const StoreRow& row : rows) {
    auto report = DecodeRow<RolloutReport>(row.value);
    if (!report) {
      this->LogUnreadableRow(row);
      continue;
    }
    const bool current =
        rollout != nullptr && report->order_revision == rollout->order.revision;
    if (current) reports.push_back(std::move(*report));
  }
  co_return reports;
}

http::Task<void> RolloutDriver::Drive(std::string service) {
  const auto reports = co_await this->ReadReports(service);
  const auto* rollout = this->context.core->Rollouts().Find(service);
  if (!reports || rollout == nullptr) co_return;
  const std::int64_t store_ms = this->context.core->Rollouts().StoreTime(Now());
  RolloutProgress next =
      rollout->begun
          ? rollout->progress
          : policy::BeginRollout(rollout->order,
                                 store_ms - this->MsSinceOrder(service));
  if (!policy::IsFinal(next.phase)) {
    next.phase =
        policy::NextPhase(next, *reports, this->channel->Directory().Size() + 1,
                          this->context.core->Rollouts().Limit(), store_ms);
  }
  next.driver = this->channel->Vm();
  next.driver_lease_until_ms = store_ms + kDriverLeaseMs;
  const bool decided = !rollout->begun || next.phase != rollout->progress.phase;
  if (decided) this->LogEvidence(service, next.phase, *reports);
  co_await this->WriteProgress(service, std::move(next));
}

// Logs what a decision is based on: one line for each route.
void RolloutDriver::LogEvidence(const std::string& service, RolloutPhase phase,
                                std::span<const RolloutReport> reports) {
  const policy::RolloutTotals totals = policy::SumReports(
      reports, this->context.core->Rollouts().StoreTime(Now()));
  std::map<std::string_view, policy::RouteStats> routes;
  for (const RolloutReport& report : reports) {
    for (const auto& [route, steps] : report.routes) {
      for (const auto& [step, stats] : steps) routes[route].Add(stats);
    }
  }
  const std::string decision =
      KeyValue("service", service) + ' ' + KeyValue("outcome", "decided") +
      ' ' + KeyValue("phase", NameOf(phase)) + ' ' +
      KeyValue("reports", static_cast<std::int64_t>(reports.size())) + ' ' +
      KeyValue("sends", totals.sends) + ' ' +
      KeyValue("arrived", totals.arrived_sends) + ' ' +
      KeyValue("new_sends", totals.new_version_sends);
  if (routes.empty()) {
    this->context.log->Write(LogKind::kRollout, decision, Now());
  }
  for (const auto& [route, stats] : routes) {
    this->context.log->Write(LogKind::kRollout,
                             decision + ' ' + KeyValue("route", route) + ' ' +
                                 DescribeStats("new", stats.new_version) + ' ' +
                                 DescribeStats("old", stats.old_version),
                             Now());
  }
}

http::Task<void> RolloutDriver::WriteProgress(std::string service,
                                              RolloutProgress progress) {
  const RowVersions& known = this->row_versions[service];
  const std::vector<StoreRow> puts{
      {std::string(kProgressTable), service, EncodeRow(progress),
       known.progress},
      {std::string(platform::kStatusTable),
       std::string(platform::kRolloutPrefix) + service,
       platform::EncodeRolloutStatus(progress), known.status}};
  const platform::StoreResponse answer = co_await this->store->Write(puts);
  if (answer.status == StoreStatus::kConflict) {
    // Another VM drives, or an earlier write of unknown outcome succeeded.
    RowVersions versions = this->row_versions[service];
    versions.progress = versions.status = 0;
    for (const StoreRow& row : answer.rows) {
      if (row.table == platform::kStatusTable) {
        versions.status = row.version;
        continue;
      }
      versions.progress = row.version;
      this->ApplyProgressRow(row);
    }
    this->row_versions[service] = versions;
    co_return;
  }
  if (answer.status != StoreStatus::kOk) co_return;
  this->row_versions[service].progress = answer.version;
  this->row_versions[service].status = answer.version;
  if (policy::IsFinal(progress.phase)) this->unwritten.erase(service);
  this->ApplyProgress(service, progress);
}

}  // namespace hornbeamspool::gateway
