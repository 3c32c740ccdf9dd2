#include "gateway/budget_keeper.h"

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

// Rows of an organisation's budget, in a part named after it.
constexpr std::string_view kBudgets = "budgets";
constexpr std::string_view kTotalKey = "total";
constexpr std::string_view kSharePrefix = "share/";  // and the VM's name

// Names of organisations of which a VM has a share, in a part named after it: a
// successor looks for what it has inherited there.
constexpr std::string_view kHoldings = "budget_holdings";

// How often a look is taken whether a call is due.
constexpr coordination::Duration kLook = std::chrono::milliseconds(200);

// No call is made for so long after one that failed.
constexpr coordination::Duration kFailurePause = std::chrono::milliseconds(400);

// Calls at once: a slow store answers in a good 300 ms, and each organisation
// wants a write in 500 ms.
constexpr std::size_t kMostCalls = 32;

}  // namespace

BudgetKeeper::BudgetKeeper(const Context& context, platform::StoreClient& store,
                           std::string vm)
    : context(context), store(&store), vm(std::move(vm)), timer(*context.io) {}

void BudgetKeeper::Start() {
  SpawnDuty(this->context, "budgets", [this] { return this->Run(); });
}

std::string BudgetKeeper::ShareKey() const {
  return std::string(kSharePrefix) + this->vm;
}

http::Task<void> BudgetKeeper::Run() {
  while (true) {
    const coordination::TimePoint now = Now();
    if (now >= this->paused_until) this->StartCalls(now);
    this->timer.expires_after(kLook);
    boost::system::error_code kicked;
    co_await this->timer.async_wait(
        boost::asio::redirect_error(http::kAwait, kicked));
  }
}

void BudgetKeeper::StartCalls(coordination::TimePoint now) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  // A store that was away is asked until it answers, also when nothing is due:
  // requests that lack tokens are refused meanwhile.
  if (!this->holdings_known || !budgets.Reachable()) {
    if (this->outstanding > 0) return;
    ++this->outstanding;
    Spawn(this->context, "budget_holdings", this->ReadHoldings(),
          [this] { this->OnCallEnded(false); });
    return;
  }
  this->NotePredecessors();
  for (const std::string& organisation :
       budgets.PlanReads(now, kMostCalls - this->outstanding)) {
    ++this->outstanding;
    Spawn(this->context, "budget_read", this->ReadRows(organisation),
          [this, organisation] {
            this->context.core->Budgets().OnReadFailed(organisation);
            this->OnCallEnded(false);
          });
  }
  for (const BudgetRows& rows :
       budgets.PlanWrites(now, kMostCalls - this->outstanding)) {
    ++this->outstanding;
    // Whether the write was done is not known then.
    Spawn(this->context, "budget_write", this->WriteRows(rows),
          [this, organisation = rows.organisation] {
            this->context.core->Budgets().OnWriteUnknown(organisation);
            this->OnCallEnded(false);
          });
  }
}

void BudgetKeeper::OnCallEnded(bool answered) {
  --this->outstanding;
  this->context.metrics->Add(Counter::kStoreCalls);
  if (!answered) this->context.metrics->Add(Counter::kStoreFailures);
  this->context.core->Budgets().SetReachable(answered);
  if (answered) {
    this->Kick();
    return;
  }
  this->paused_until = Now() + kFailurePause;
}

// Organisations that the configuration does not name yet stay for later.
void BudgetKeeper::NotePredecessors() {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  std::erase_if(this->inherited, [&](const std::string& organisation) {
    return budgets.NotePredecessor(organisation);
  });
}

http::Task<void> BudgetKeeper::ReadHoldings() {
  const coordination::TimePoint asked = Now();
  const platform::KeyRange all{{}, {}, this->vm};
  const platform::StoreAnswer answer =
      co_await this->store->Read(std::string(kHoldings), all);
  const bool answered = answer.status == StoreStatus::kOk;
  if (answered) {
    this->context.core->Budgets().OnStoreClock(answer.store_ms, asked, Now());
    for (const StoreRow& row : answer.rows) {
      const bool news = this->holdings.insert(row.key).second;
      if (news) this->inherited.insert(row.key);
    }
    this->holdings_known = true;
  }
  this->OnCallEnded(answered);
}

// Leaves word that this VM has a share of the organisation's budget. False: the
// word is not known to stand.
http::Task<bool> BudgetKeeper::NoteHolding(std::string organisation) {
  StoreRow row;
  row.table = kHoldings;
  row.part = this->vm;
  row.key = organisation;
  const std::vector<StoreRow> rows{std::move(row)};
  const platform::StoreAnswer answer = co_await this->store->Write(rows);
  const bool stands = answer.status == StoreStatus::kOk ||
                      answer.status == StoreStatus::kConflict;
  if (stands) this->holdings.insert(std::move(organisation));
  co_return stands;
}

// The rows of an organisation among `rows`; absent ones have version 0. Empty
// when one of them can't be read: nothing is spent on a guess.
std::optional<BudgetRows> BudgetKeeper::Collect(
    std::span<const StoreRow> rows, std::string_view organisation) const {
  const std::string share_key = this->ShareKey();
  BudgetRows collected;
  collected.organisation = organisation;
  for (const StoreRow& row : rows) {
    if (row.key == kTotalKey) {
      const auto total = DecodeRow<policy::BudgetTotal>(row.value);
      if (!total) return std::nullopt;
      collected.total = *total;
      collected.total_version = row.version;
    } else if (row.key == share_key) {
      const auto share = DecodeRow<policy::BudgetShare>(row.value);
      if (!share) return std::nullopt;
      collected.share = *share;
      collected.share_version = row.version;
    }
  }
  return collected;
}

// What the shares of other VMs had left at their checkpoints.
std::int64_t BudgetKeeper::HeldElsewhere(std::span<const StoreRow> rows) const {
  const std::string own = this->ShareKey();
  std::int64_t held = 0;
  for (const StoreRow& row : rows) {
    if (!row.key.starts_with(kSharePrefix) || row.key == own) continue;
    const auto share = DecodeRow<policy::BudgetShare>(row.value);
    if (share) held += std::max<std::int64_t>(0, share->limit - share->spent);
  }
  return held;
}

// All rows of the organisation.
void BudgetKeeper::TakeRows(std::span<const StoreRow> rows,
                            std::string_view organisation) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  if (auto collected = this->Collect(rows, organisation)) {
    collected->held_elsewhere = this->HeldElsewhere(rows);
    budgets.OnRead(*collected);
    return;
  }
  budgets.OnReadFailed(organisation);
  this->LogFailure(organisation, "unreadable_row");
}

http::Task<void> BudgetKeeper::ReadRows(std::string organisation) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  const coordination::TimePoint asked = Now();
  const platform::KeyRange all{{}, {}, organisation};
  const platform::StoreAnswer answer =
      co_await this->store->Read(std::string(kBudgets), all);
  const bool answered = answer.status == StoreStatus::kOk;
  if (answered) {
    budgets.OnStoreClock(answer.store_ms, asked, Now());
    this->TakeRows(answer.rows, organisation);
  } else {
    budgets.OnReadFailed(organisation);
  }
  this->OnCallEnded(answered);
}

void BudgetKeeper::LogLimits(const BudgetRows& rows) {
  std::string pairs = KeyValue("organisation", rows.organisation);
  pairs += ' ' + KeyValue("limit", rows.share.limit);
  pairs += ' ' + KeyValue("spent", rows.share.spent);
  pairs += ' ' + KeyValue("fleet_committed", rows.total.committed);
  pairs += ' ' + KeyValue("fleet_spent", rows.total.known_spent);
  if (rows.stranded > 0) pairs += ' ' + KeyValue("stranded", rows.stranded);
  this->context.log->Write(LogKind::kBudget, pairs, Now());
}

void BudgetKeeper::LogFailure(std::string_view organisation,
                              std::string_view outcome) {
  std::string pairs = KeyValue("outcome", outcome);
  pairs += ' ' + KeyValue("organisation", organisation);
  this->context.log->Write(LogKind::kBudget, pairs, Now());
}

http::Task<void> BudgetKeeper::WriteRows(BudgetRows rows) {
  policy::BudgetManager& budgets = this->context.core->Budgets();
  const std::string organisation = rows.organisation;
  if (!this->holdings.contains(organisation)) {
    const bool noted = co_await this->NoteHolding(organisation);
    if (!noted) {
      budgets.OnNotWritten(organisation);
      this->LogFailure(organisation, "write_refused");
      this->OnCallEnded(false);
      co_return;
    }
  }
  const std::vector<StoreRow> puts{
      {std::string(kBudgets), std::string(kTotalKey), EncodeRow(rows.total),
       rows.total_version, false, organisation},
      {std::string(kBudgets), this->ShareKey(), EncodeRow(rows.share),
       rows.share_version, false, organisation}};
  const coordination::TimePoint asked = Now();
  const platform::StoreAnswer answer = co_await this->store->Write(puts);
  const bool answered = answer.status == StoreStatus::kOk ||
                        answer.status == StoreStatus::kConflict;
  if (answered) budgets.OnStoreClock(answer.store_ms, asked, Now());
  switch (answer.status) {
    case StoreStatus::kOk:
      budgets.OnWritten(organisation, answer.version);
      this->context.metrics->Add(Counter::kTokensStranded, rows.stranded);
      this->LogLimits(rows);
      break;
    case StoreStatus::kConflict:
      if (const auto rows = this->Collect(answer.rows, organisation)) {
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
