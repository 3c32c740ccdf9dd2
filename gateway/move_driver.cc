#include "gateway/move_driver.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

#include "gateway/event_log.h"
#include "gateway/move_rows.h"
#include "gateway/peer_channel.h"
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
using policy::MovePhase;
using policy::MoveProgress;
using policy::MoveReport;

constexpr std::string_view kProgressTable = "version_moves";
constexpr std::string_view kReportTable = "version_reports";  // part: service

// How often a VM reports, and a driver looks. Bad answers stop a move within
// two of these and the time of the store's calls.
constexpr coordination::Duration kStep = std::chrono::milliseconds(500);

// A driver keeps its move for so long after each write; the next in line takes
// over then, and anybody after as long again.
constexpr std::int64_t kDriverMs = 2000;

// VMs that drive a move, one after the other.
constexpr std::size_t kDrivers = 2;

std::string_view NameOf(MovePhase phase) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(MovePhase::kCount)>
      kNames{"trial", "switched", "completed", "taken_back"};
  return kNames.at(static_cast<std::size_t>(phase));
}

bool HasEnded(const policy::VersionMoves::Move& move) {
  return move.begun && policy::IsFinal(move.progress.phase);
}

}  // namespace

MoveDriver::MoveDriver(const Context& context, platform::StoreClient& store,
                       PeerChannel& channel)
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
             LogException(this->context, kProgressTable, fault);
           }}) {}

// Nothing is followed until the first order.
void MoveDriver::Begin() {
  if (std::exchange(this->begun, true)) return;
  this->progress_table.Start();
  SpawnBackgroundTask(this->context, "moves", [this] { return this->Run(); });
}

void MoveDriver::OnOrder(const StoreRow& row) {
  const std::string service = row.key.substr(platform::kMovePrefix.size());
  if (row.removed) {
    this->context.core->Moves().RemoveOrder(service);
    return;
  }
  auto order = platform::DecodeMoveOrder(row.value, row.version);
  std::string pairs = KeyValue("service", service);
  if (!order || order->service != service) {
    pairs += ' ' + KeyValue("outcome", "unreadable");
    this->context.log->Write(LogKind::kMove, pairs, Now());
    return;
  }
  const auto* known = this->context.core->Moves().Find(service);
  if (known != nullptr && known->order.revision >= order->revision) return;
  pairs += ' ' + KeyValue("outcome", "ordered");
  pairs += ' ' + KeyValue("version", order->version);
  pairs +=
      ' ' + KeyValue("revision", static_cast<std::int64_t>(order->revision));
  this->context.log->Write(LogKind::kMove, pairs, Now());
  this->rows[service].ordered_at = Now();
  this->context.core->Moves().SetOrder(std::move(*order));
  this->Begin();
}

void MoveDriver::TakeProgress(const std::string& service,
                              const MoveProgress& progress) {
  policy::VersionMoves& moves = this->context.core->Moves();
  const auto* known = moves.Find(service);
  const bool same = known != nullptr && known->begun &&
                    known->progress.order_revision == progress.order_revision &&
                    known->progress.phase == progress.phase;
  moves.SetProgress(service, progress);
  if (same) return;
  std::string pairs = KeyValue("service", service);
  pairs += ' ' + KeyValue("outcome", NameOf(progress.phase));
  pairs += ' ' + KeyValue("version", progress.version);
  pairs += ' ' + KeyValue("driver", progress.driver);
  this->context.log->Write(LogKind::kMove, pairs, Now());
}

void MoveDriver::OnProgress(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    this->rows[row.key].progress_version = row.removed ? 0 : row.version;
    if (!row.removed) this->TakeProgressRow(row);
  }
}

void MoveDriver::TakeProgressRow(const StoreRow& row) {
  const auto progress = DecodeRow<MoveProgress>(row.value);
  if (!progress) {
    this->LogUnreadable(row);
    return;
  }
  this->TakeProgress(row.key, *progress);
}

// A row that another writer has left.
void MoveDriver::LogUnreadable(const StoreRow& row) {
  std::string pairs = KeyValue("outcome", "unreadable_row");
  pairs += ' ' + KeyValue("table", row.table);
  pairs += ' ' + KeyValue("row", row.key);
  this->context.log->Write(LogKind::kMove, pairs, Now());
}

http::Task<void> MoveDriver::Run() {
  http::Timer timer(*this->context.io);
  while (true) {
    std::vector<std::string> services;
    for (const auto& [service, move] : this->context.core->Moves().All()) {
      if (move.order.revision != 0 && !HasEnded(move)) {
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

http::Task<void> MoveDriver::Step(std::string service) {
  co_await this->Report(service);
  const auto* move = this->context.core->Moves().Find(service);
  if (move == nullptr || !this->IsToDrive(service, *move)) co_return;
  co_await this->Drive(service);
}

// Also without news: the answer tells that the store is heard.
http::Task<void> MoveDriver::Report(std::string service) {
  const auto* move = this->context.core->Moves().Find(service);
  if (move == nullptr) co_return;
  StoreRow row;
  row.table = kReportTable;
  row.part = service;
  row.key = this->channel->Vm();
  row.value = EncodeRow(this->context.core->Moves().ReportAt(service, Now()));
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
  this->context.core->Moves().SetStoreClock(answer.store_ms, Now());
}

// A row in the place of this VM's report: its predecessor's, or its own of a
// write whose outcome was not known.
void MoveDriver::TakeLeftReport(const std::string& service,
                                const StoreRow& row) {
  const auto report = DecodeRow<MoveReport>(row.value);
  if (!report) {
    this->LogUnreadable(row);
    return;
  }
  this->context.core->Moves().Inherit(service, *report);
}

// The driver goes on; when it is silent, the next in line, then anybody.
bool MoveDriver::IsToDrive(const std::string& service,
                           const policy::VersionMoves::Move& move) const {
  const coordination::TimePoint now = Now();
  if (!this->context.core->Moves().StoreKnown(now)) return false;
  const std::int64_t store_ms = this->context.core->Moves().StoreTime(now);
  const MoveProgress& progress = move.progress;
  if (move.begun && progress.driver == this->channel->Vm()) return true;
  if (move.begun && store_ms < progress.driver_until_ms) return false;
  const std::vector<std::string> first =
      this->channel->Directory().HomesOf("move/" + service, kDrivers, now);
  if (std::find(first.begin(), first.end(), this->channel->Vm()) !=
      first.end()) {
    return true;
  }
  if (move.begun) return store_ms > progress.driver_until_ms + kDriverMs;
  const auto waited = now - this->rows.at(service).ordered_at;
  return waited > std::chrono::milliseconds(kDriverMs);
}

http::Task<std::optional<std::vector<MoveReport>>> MoveDriver::ReadReports(
    std::string service) {
  const platform::KeyRange all{{}, {}, service};
  const platform::StoreAnswer answer =
      co_await this->store->Read(std::string(kReportTable), all);
  if (answer.status != StoreStatus::kOk) co_return std::nullopt;
  this->context.core->Moves().SetStoreClock(answer.store_ms, Now());
  const auto* move = this->context.core->Moves().Find(service);
  std::vector<MoveReport> reports;
  for (const StoreRow& row : answer.rows) {
    auto report = DecodeRow<MoveReport>(row.value);
    if (!report) {
      this->LogUnreadable(row);
      continue;
    }
    const bool current =
        move != nullptr && report->order_revision == move->order.revision;
    if (current) reports.push_back(std::move(*report));
  }
  co_return reports;
}

http::Task<void> MoveDriver::Drive(std::string service) {
  const auto reports = co_await this->ReadReports(service);
  const auto* move = this->context.core->Moves().Find(service);
  if (!reports || move == nullptr) co_return;
  const std::int64_t store_ms = this->context.core->Moves().StoreTime(Now());
  MoveProgress next =
      move->begun ? move->progress : policy::BeginMove(move->order, store_ms);
  next.phase = policy::NextPhase(
      next, *reports, this->channel->Directory().Size() + 1, store_ms);
  next.driver = this->channel->Vm();
  next.driver_until_ms = store_ms + kDriverMs;
  co_await this->WriteProgress(service, std::move(next));
}

http::Task<void> MoveDriver::WriteProgress(std::string service,
                                           MoveProgress progress) {
  const Rows& known = this->rows[service];
  const std::vector<StoreRow> puts{
      {std::string(kProgressTable), service, EncodeRow(progress),
       known.progress_version},
      {std::string(platform::kStatusTable),
       std::string(platform::kMovePrefix) + service,
       platform::EncodeMoveStatus(progress), known.status_version}};
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
