#include "gateway/rollout_driver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

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

constexpr std::string_view kProgressTable = "version_moves";
constexpr std::string_view kReportTable = "version_reports";  // part: service

// How often a VM reports, and a driver looks. Bad answers stop a rollout within
// two of these and the time of the store's calls.
constexpr coordination::Duration kStep = std::chrono::milliseconds(500);

// A driver keeps its rollout for so long after each write; the next in line
// takes over then, and anybody after as long again.
constexpr std::int64_t kDriverMs = 2000;

// VMs that drive a rollout, one after the other.
constexpr std::size_t kDrivers = 2;

std::string_view NameOf(RolloutPhase phase) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(RolloutPhase::kCount)>
      kNames{"trial", "switched", "completed", "taken_back"};
  return kNames.at(static_cast<std::size_t>(phase));
}

bool HasEnded(const policy::VersionRollouts::Rollout& rollout) {
  return rollout.begun && policy::IsFinal(rollout.progress.phase);
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
             this->progress_known = true;
           },
           [this](const auto& rows) { this->OnProgress(rows); }, [](bool) {},
           [this](std::string_view fault) {
             LogFault(this->context, kProgressTable, fault);
           }}) {}

// Nothing is followed until the first order.
void RolloutDriver::Begin() {
  if (std::exchange(this->begun, true)) return;
  this->progress_table.Start();
  SpawnDuty(this->context, "moves", [this] { return this->Run(); });
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
    this->context.log->Write(LogKind::kMove, pairs, Now());
    return;
  }
  const auto* known = this->context.core->Rollouts().Find(service);
  if (known != nullptr && known->order.revision >= order->revision) return;
  pairs += ' ' + KeyValue("outcome", "ordered");
  pairs += ' ' + KeyValue("version", order->version);
  pairs +=
      ' ' + KeyValue("revision", static_cast<std::int64_t>(order->revision));
  this->context.log->Write(LogKind::kMove, pairs, Now());
  this->rows[service].ordered_at = Now();
  this->context.core->Rollouts().SetOrder(std::move(*order));
  this->Begin();
}

void RolloutDriver::TakeProgress(const std::string& service,
                                 const RolloutProgress& progress) {
  policy::VersionRollouts& rollouts = this->context.core->Rollouts();
  const auto* known = rollouts.Find(service);
  const bool same = known != nullptr && known->begun &&
                    known->progress.order_revision == progress.order_revision &&
                    known->progress.phase == progress.phase;
  rollouts.SetProgress(service, progress);
  if (same) return;
  std::string pairs = KeyValue("service", service);
  pairs += ' ' + KeyValue("outcome", NameOf(progress.phase));
  pairs += ' ' + KeyValue("version", progress.version);
  pairs += ' ' + KeyValue("driver", progress.driver);
  this->context.log->Write(LogKind::kMove, pairs, Now());
}

void RolloutDriver::OnProgress(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    this->rows[row.key].progress_version = row.removed ? 0 : row.version;
    if (!row.removed) this->TakeProgressRow(row);
  }
}

void RolloutDriver::TakeProgressRow(const StoreRow& row) {
  const auto progress = DecodeRow<RolloutProgress>(row.value);
  if (!progress) {
    this->LogUnreadable(row);
    return;
  }
  this->TakeProgress(row.key, *progress);
}

// A row that another writer has left.
void RolloutDriver::LogUnreadable(const StoreRow& row) {
  std::string pairs = KeyValue("outcome", "unreadable_row");
  pairs += ' ' + KeyValue("table", row.table);
  pairs += ' ' + KeyValue("row", row.key);
  this->context.log->Write(LogKind::kMove, pairs, Now());
}

http::Task<void> RolloutDriver::Run() {
  http::Timer timer(*this->context.io);
  while (true) {
    std::vector<std::string> services;
    for (const auto& [service, rollout] :
         this->context.core->Rollouts().All()) {
      if (rollout.order.revision != 0 && !HasEnded(rollout)) {
        services.push_back(service);
      }
    }
    for (const std::string& service : services) {
      co_await this->Step(service);
    }
    timer.expires_after(kStep);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> RolloutDriver::Step(std::string service) {
  co_await this->Report(service);
  const auto* rollout = this->context.core->Rollouts().Find(service);
  if (rollout == nullptr || !this->IsToDrive(service, *rollout)) co_return;
  co_await this->Drive(service);
}

// Also without news: the answer tells that the store is heard.
http::Task<void> RolloutDriver::Report(std::string service) {
  const auto* rollout = this->context.core->Rollouts().Find(service);
  if (rollout == nullptr) co_return;
  StoreRow row;
  row.table = kReportTable;
  row.part = service;
  row.key = this->channel->Vm();
  row.value =
      EncodeRow(this->context.core->Rollouts().ReportAt(service, Now()));
  row.version = this->rows[service].report_version;
  const std::vector<StoreRow> rows{std::move(row)};
  const platform::StoreAnswer answer = co_await this->store->Write(rows);
  if (answer.status == StoreStatus::kConflict) {
    this->rows[service].report_version =
        answer.rows.empty() ? 0 : answer.rows.front().version;
    if (!answer.rows.empty()) {
      this->TakeLeftReport(service, answer.rows.front());
    }
  }
  if (answer.status != StoreStatus::kOk) co_return;
  this->rows[service].report_version = answer.version;
  this->context.core->Rollouts().SetStoreClock(answer.store_ms, Now());
}

// A row in the place of this VM's report: its predecessor's, or its own of a
// write whose outcome was not known.
void RolloutDriver::TakeLeftReport(const std::string& service,
                                   const StoreRow& row) {
  const auto report = DecodeRow<RolloutReport>(row.value);
  if (!report) {
    this->LogUnreadable(row);
    return;
  }
  this->context.core->Rollouts().MergePredecessorReport(service, *report);
}

// The driver goes on; when it is silent, the next in line, then anybody.
bool RolloutDriver::IsToDrive(
    const std::string& service,
    const policy::VersionRollouts::Rollout& rollout) const {
  const coordination::TimePoint now = Now();
  if (!this->context.core->Rollouts().IsStoreClockFresh(now)) return false;
  const std::int64_t store_ms = this->context.core->Rollouts().StoreTime(now);
  const RolloutProgress& progress = rollout.progress;
  if (rollout.begun && progress.driver == this->channel->Vm()) return true;
  if (rollout.begun && store_ms < progress.driver_until_ms) return false;
  const std::vector<std::string> first =
      this->channel->Directory().HomesOf("move/" + service, kDrivers, now);
  if (std::find(first.begin(), first.end(), this->channel->Vm()) !=
      first.end()) {
    return true;
  }
  if (rollout.begun) return store_ms > progress.driver_until_ms + kDriverMs;
  const auto waited = now - this->rows.at(service).ordered_at;
  return waited > std::chrono::milliseconds(kDriverMs);
}

http::Task<std::optional<std::vector<RolloutReport>>>
RolloutDriver::ReadReports(std::string service) {
  const platform::KeyRange all{{}, {}, service};
  const platform::StoreAnswer answer =
      co_await this->store->Read(std::string(kReportTable), all);
  if (answer.status != StoreStatus::kOk) co_return std::nullopt;
  this->context.core->Rollouts().SetStoreClock(answer.store_ms, Now());
  const auto* rollout = this->context.core->Rollouts().Find(service);
  std::vector<RolloutReport> reports;
  for (const StoreRow& row : answer.rows) {
    auto report = DecodeRow<RolloutReport>(row.value);
    if (!report) {
      this->LogUnreadable(row);
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
  RolloutProgress next = rollout->begun
                             ? rollout->progress
                             : policy::BeginRollout(rollout->order, store_ms);
  next.phase = policy::NextPhase(
      next, *reports, this->channel->Directory().Size() + 1, store_ms);
  next.driver = this->channel->Vm();
  next.driver_until_ms = store_ms + kDriverMs;
  co_await this->WriteProgress(service, std::move(next));
}

http::Task<void> RolloutDriver::WriteProgress(std::string service,
                                              RolloutProgress progress) {
  const Rows& known = this->rows[service];
  const std::vector<StoreRow> puts{
      {std::string(kProgressTable), service, EncodeRow(progress),
       known.progress_version},
      {std::string(platform::kStatusTable),
       std::string(platform::kRolloutPrefix) + service,
       platform::EncodeRolloutStatus(progress), known.status_version}};
  const platform::StoreAnswer answer = co_await this->store->Write(puts);
  if (answer.status == StoreStatus::kConflict) {
    // Somebody else drives, or a write of unknown outcome was done.
    Rows now = this->rows[service];
    now.progress_version = now.status_version = 0;
    for (const StoreRow& row : answer.rows) {
      if (row.table == platform::kStatusTable) {
        now.status_version = row.version;
        continue;
      }
      now.progress_version = row.version;
      this->TakeProgressRow(row);
    }
    this->rows[service] = now;
    co_return;
  }
  if (answer.status != StoreStatus::kOk) co_return;
  this->rows[service].progress_version = answer.version;
  this->rows[service].status_version = answer.version;
  this->TakeProgress(service, progress);
}

}  // namespace hornbeamspool::gateway
