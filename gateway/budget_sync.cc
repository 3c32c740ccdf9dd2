#include "gateway/budget_sync.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <utility>

#include "gateway/budget_rows.h"
#include "gateway/event_log.h"
#include "gateway/spawn.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using platform::StoreRow;
using platform::StoreStatus;
using policy::BudgetRows;
using policy::KeyValue;

// Rows of an organisation's budget: the total and each VM's share, in a part
// named after the organisation.
constexpr std::string_view kBudgetTable = "budgets";
constexpr std::string_view kTotalKey = "total";
constexpr std::string_view kSharePrefix = "share/";  // followed by the VM

// Organisations of whose budgets a VM has a share, in a part named after the
// VM: when the gateway starts again, it finds the shares of its predecessor
// there.
constexpr std::string_view kHoldingTable = "budget_holdings";

// How often to check whether a call is due.
constexpr coordination::Duration kPollInterval = std::chrono::milliseconds(200);

// No call is made for this long after a failed one.
constexpr coordination::Duration kBackoff = std::chrono::milliseconds(400);

// Concurrent calls. A slow store answers in about 300 ms, and each organisation
// needs a write every 500 ms.
constexpr std::size_t kMaxConcurrentCalls = 32;

}  // namespace

BudgetSync::BudgetSync(const Context& context, platform::StoreClient& store,
                       std::string vm)
    : context(context), store(&store), vm(std::move(vm)), timer(*context.io) {}

void BudgetSync::Start() {
  SpawnBackgroundTask(this->context, "budgets", [this] { return this->Run(); });
}

std::string BudgetSync::ShareKey() const {
  return std::string(kSharePrefix) + this->vm;
}

http::Task<void> BudgetSync::Run() {
  while (true) {
    const coordination::TimePoint now = Now();
    if (now >= this->backoff_until) this->StartCalls(now);
    this->timer.expires_after(kPollInterval);
    boost::system::error_code woken;
    co_await this->timer.async_wait(
        boost::asio::redirect_error(http::kAwait, woken));
  }
}

void BudgetSync::StartCalls(coordination::TimePoint now) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  // An unreachable store is probed until it answers, even if no call is due,
  // because requests without tokens are refused meanwhile.
  if (!this->holdings_known || !budgets.Reachable()) {
    if (this->calls_in_flight > 0) return;
    ++this->calls_in_flight;
    Spawn(this->context, "budget_holdings", this->ReadHoldings(),
          [this] { this->OnCallEnded(false); });
    return;
  }
  this->ReportInherited();
  for (const std::string& organisation :
       budgets.PlanReads(now, kMaxConcurrentCalls - this->calls_in_flight)) {
    ++this->calls_in_flight;
    Spawn(this->context, "budget_read", this->ReadRows(organisation),
          [this, organisation] {
            this->context.core->Budgets().OnReadFailed(organisation);
            this->OnCallEnded(false);
          });
  }
  for (const BudgetRows& rows :
       budgets.PlanWrites(now, kMaxConcurrentCalls - this->calls_in_flight)) {
    ++this->calls_in_flight;
    // An exception leaves it unknown whether the write was done.
    Spawn(this->context, "budget_write", this->WriteRows(rows),
          [this, organisation = rows.organisation] {
            this->context.core->Budgets().OnWriteUnknown(organisation);
            this->OnCallEnded(false);
          });
  }
}

void BudgetSync::OnCallEnded(bool answered) {
  --this->calls_in_flight;
  this->context.metrics->Add(Counter::kStoreCalls);
  if (!answered) this->context.metrics->Add(Counter::kStoreFailures);
  this->context.core->Budgets().SetReachable(answered);
  if (answered) {
    this->WakeNow();
    return;
  }
  this->backoff_until = Now() + kBackoff;
}

// Reports the predecessor's shares to the budgets. Organisations that the
// configuration does not contain yet are kept for a later call.
void BudgetSync::ReportInherited() {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  std::erase_if(this->inherited, [&](const std::string& organisation) {
    return budgets.ScheduleInheritedRead(organisation);
  });
}

// The record of this VM's holdings may be lost as well.
void BudgetSync::OnEra(std::uint64_t era) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  if (era <= budgets.Era()) return;
  const bool restored = budgets.Era() != 0;
  budgets.OnEra(era, Now());
  if (!restored) return;
  this->holdings.clear();
  this->holdings_known = false;
  this->WakeNow();
}

http::Task<void> BudgetSync::ReadHoldings() {
  const coordination::TimePoint sent_at = Now();
  const platform::KeyRange all{{}, {}, this->vm};
  const platform::StoreResponse answer =
      co_await this->store->Read(std::string(kHoldingTable), all);
  const bool answered = answer.status == StoreStatus::kOk;
  this->OnEra(answer.era);
  if (answered) {
    this->context.core->Budgets().OnStoreClock(answer.store_ms, sent_at, Now());
    for (const StoreRow& row : answer.rows) {
      const bool is_new = this->holdings.insert(row.key).second;
      if (is_new) this->inherited.insert(row.key);
    }
    this->holdings_known = true;
  }
  this->OnCallEnded(answered);
}

// Records that this VM has a share of the organisation's budget. False if the
// record is not known to be stored.
http::Task<bool> BudgetSync::WriteHolding(std::string organisation) {
  StoreRow row;
  row.table = kHoldingTable;
  row.partition = this->vm;
  row.key = organisation;
  const std::vector<StoreRow> rows{std::move(row)};
  const platform::StoreResponse answer = co_await this->store->Write(rows);
  const bool stored = answer.status == StoreStatus::kOk ||
                      answer.status == StoreStatus::kConflict;
  if (stored) this->holdings.insert(std::move(organisation));
  co_return stored;
}

// Decodes the total and this VM's share; an absent row has version 0. Empty
// when one of them is unreadable: then nothing may be spent.
std::optional<BudgetRows> BudgetSync::DecodeOwnRows(
    std::span<const StoreRow> rows, std::string_view organisation) const {
  const std::string share_key = this->ShareKey();
  BudgetRows decoded;
  decoded.organisation = organisation;
  decoded.era = this->context.core->Budgets().Era();
  for (const StoreRow& row : rows) {
    if (row.key == kTotalKey) {
      const auto total = DecodeRow<policy::BudgetTotal>(row.value);
      if (!total) return std::nullopt;
      decoded.total = *total;
      decoded.total_version = row.version;
    } else if (row.key == share_key) {
      const auto share = DecodeRow<policy::BudgetShare>(row.value);
      if (!share) return std::nullopt;
      decoded.share = *share;
      decoded.share_version = row.version;
    }
  }
  return decoded;
}

// Adds what the other VMs' shares had left at their checkpoints.
void BudgetSync::AddSharesElsewhere(std::span<const StoreRow> rows,
                                    BudgetRows& decoded) const {
  const std::string own = this->ShareKey();
  std::int64_t total = 0;
  for (const StoreRow& row : rows) {
    if (!row.key.starts_with(kSharePrefix) || row.key == own) continue;
    const auto share = DecodeRow<policy::BudgetShare>(row.value);
    if (!share || share->limit <= share->spent) continue;
    total += share->limit - share->spent;
    if (share->era < decoded.era) decoded.unasserted_elsewhere = true;
  }
  decoded.held_elsewhere = total;
}

// Takes over all rows of the organisation's budget, as read from the store.
void BudgetSync::ApplyRows(std::span<const StoreRow> rows,
                           std::string_view organisation) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  if (auto decoded = this->DecodeOwnRows(rows, organisation)) {
    this->AddSharesElsewhere(rows, *decoded);
    budgets.OnRead(*decoded);
    return;
  }
  budgets.OnReadFailed(organisation);
  this->LogFailure(organisation, "unreadable_row");
}

http::Task<void> BudgetSync::ReadRows(std::string organisation) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  const coordination::TimePoint sent_at = Now();
  const platform::KeyRange all{{}, {}, organisation};
  const platform::StoreResponse answer =
      co_await this->store->Read(std::string(kBudgetTable), all);
  this->OnEra(answer.era);
  const bool answered =
      answer.status == StoreStatus::kOk && answer.era == budgets.Era();
  if (answered) {
    budgets.OnStoreClock(answer.store_ms, sent_at, Now());
    this->ApplyRows(answer.rows, organisation);
  } else {
    budgets.OnReadFailed(organisation);
  }
  this->OnCallEnded(answered);
}

void BudgetSync::LogLimits(const BudgetRows& rows) {
  std::string pairs = KeyValue("organisation", rows.organisation);
  pairs += ' ' + KeyValue("limit", rows.share.limit);
  pairs += ' ' + KeyValue("spent", rows.share.spent);
  pairs += ' ' + KeyValue("fleet_committed", rows.total.committed);
  pairs += ' ' + KeyValue("fleet_spent", rows.total.known_spent);
  if (rows.stranded > 0) pairs += ' ' + KeyValue("stranded", rows.stranded);
  this->context.log->Write(LogKind::kBudget, pairs, Now());
}

void BudgetSync::LogFailure(std::string_view organisation,
                            std::string_view outcome) {
  std::string pairs = KeyValue("outcome", outcome);
  pairs += ' ' + KeyValue("organisation", organisation);
  this->context.log->Write(LogKind::kBudget, pairs, Now());
}

http::Task<void> BudgetSync::WriteRows(BudgetRows rows) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  const std::string organisation = rows.organisation;
  if (!this->holdings.contains(organisation)) {
    const bool stored = co_await this->WriteHolding(organisation);
    if (!stored) {
      budgets.OnNotWritten(organisation);
      this->LogFailure(organisation, "write_refused");
      this->OnCallEnded(false);
      co_return;
    }
  }
  const std::vector<StoreRow> puts{
      {std::string(kBudgetTable), std::string(kTotalKey), EncodeRow(rows.total),
       rows.total_version, false, organisation},
      {std::string(kBudgetTable), this->ShareKey(), EncodeRow(rows.share),
       rows.share_version, false, organisation}};
  const coordination::TimePoint sent_at = Now();
  platform::StoreResponse answer = co_await this->store->Write(puts);
  this->OnEra(answer.era);
  const bool answered = answer.status == StoreStatus::kOk ||
                        answer.status == StoreStatus::kConflict;
  // The versions that the write is conditional on are those of another era, or
  // the response is late: the rows must be read.
  const bool era_changed =
      answered && (answer.era != rows.era || answer.era != budgets.Era());
  if (era_changed) answer.status = StoreStatus::kUnknown;
  if (answered) budgets.OnStoreClock(answer.store_ms, sent_at, Now());
  switch (answer.status) {
    case StoreStatus::kOk:
      budgets.OnWritten(organisation, answer.version);
      this->context.metrics->Add(Counter::kTokensStranded, rows.stranded);
      this->LogLimits(rows);
      break;
    case StoreStatus::kConflict:
      if (const auto rows = this->DecodeOwnRows(answer.rows, organisation)) {
        budgets.OnConflict(*rows, Now());
        break;
      }
      budgets.OnNotWritten(organisation);
      this->LogFailure(organisation, "unreadable_row");
      break;
    case StoreStatus::kUnknown:
      budgets.OnWriteUnknown(organisation);
      this->LogFailure(organisation, "write_unknown");
      break;
    default:
      budgets.OnNotWritten(organisation);
      this->LogFailure(organisation, "write_refused");
      break;
  }
  this->OnCallEnded(answered);
  this->context.token_broker->OnShareChanged();
}

}  // namespace hornbeamspool::gateway
