#include "gateway/budget_keeper.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <chrono>
#include <map>
#include <sstream>
#include <utility>

#include "gateway/event_log.h"
#include "gateway/token_broker.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::policy {

template <typename Archive>
void serialize(Archive& archive, BudgetTotal& total) {
  archive(total.committed, total.known_spent);
}

template <typename Archive>
void serialize(Archive& archive, BudgetShare& share) {
  archive(share.incarnation, share.limit, share.spent, share.committed,
          share.checkpoint_ms, share.burst, share.per_second);
}

}  // namespace hornbeamspool::policy

namespace hornbeamspool::gateway {
namespace {

using platform::StoreRow;
using platform::StoreStatus;
using policy::BudgetRows;
using policy::KeyValue;

constexpr std::string_view kTotals = "budget_totals";  // by organisation
constexpr std::string_view kShares = "budget_shares";  // by VM and organisation

// How often a look is taken whether a write is due.
constexpr coordination::Duration kLook = std::chrono::milliseconds(200);

template <typename Value>
std::string Encode(const Value& value) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(value);
  return bytes.str();
}

template <typename Value>
Value Decode(const std::string& bytes) {
  std::istringstream stream(bytes);
  cereal::PortableBinaryInputArchive archive(stream);
  Value value;
  archive(value);
  return value;
}

}  // namespace

BudgetKeeper::BudgetKeeper(const Context& context, platform::StoreClient& store,
                           std::string vm)
    : context(context), store(&store), vm(std::move(vm)), timer(*context.io) {}

void BudgetKeeper::Start() {
  boost::asio::co_spawn(*this->context.io, this->Run(), boost::asio::detached);
}

std::string BudgetKeeper::ShareKey(std::string_view organisation) const {
  return this->vm + '/' + std::string(organisation);
}

http::Task<void> BudgetKeeper::Run() {
  policy::BudgetDesk& desk = this->context.core->Budgets();
  while (true) {
    bool settled = true;
    // A store that was away is asked until it answers, also when nothing is
    // due: requests that lack tokens are refused meanwhile.
    if (desk.NeedsRead() || !desk.Reachable()) {
      settled = co_await this->ReadRows();
      if (!settled) desk.SetReachable(false);
    }
    std::vector<BudgetRows> rows = desk.PlanWrite(Now());
    if (!rows.empty()) {
      settled = co_await this->WriteRows(std::move(rows));
      this->context.token_broker->OnShareChanged();
      if (settled) continue;
    }
    this->timer.expires_after(kLook);
    boost::system::error_code kicked;
    co_await this->timer.async_wait(
        boost::asio::redirect_error(http::kAwait, kicked));
    if (settled) continue;
    // The store did not answer: a kick doesn't shorten the pause.
    this->timer.expires_after(kLook);
    co_await this->timer.async_wait(
        boost::asio::redirect_error(http::kAwait, kicked));
  }
}

// The rows of each organisation among `rows`; absent ones have version 0.
std::vector<BudgetRows> BudgetKeeper::Collect(
    std::span<const StoreRow> rows,
    std::span<const std::string> organisations) const {
  std::map<std::string_view, const StoreRow*> totals;
  std::map<std::string_view, const StoreRow*> shares;
  for (const StoreRow& row : rows) {
    (row.table == kTotals ? totals : shares)[row.key] = &row;
  }
  std::vector<BudgetRows> collected;
  for (const std::string& organisation : organisations) {
    BudgetRows entry;
    entry.organisation = organisation;
    if (const auto found = totals.find(organisation); found != totals.end()) {
      entry.total = Decode<policy::BudgetTotal>(found->second->value);
      entry.total_version = found->second->version;
    }
    const std::string share_key = this->ShareKey(organisation);
    if (const auto found = shares.find(share_key); found != shares.end()) {
      entry.share = Decode<policy::BudgetShare>(found->second->value);
      entry.share_version = found->second->version;
    }
    collected.push_back(std::move(entry));
  }
  return collected;
}

http::Task<bool> BudgetKeeper::ReadRows() {
  policy::BudgetDesk& desk = this->context.core->Budgets();
  std::vector<std::string> organisations = desk.Organisations();
  if (organisations.empty()) co_return true;
  const platform::KeyRange all;
  platform::StoreAnswer totals =
      co_await this->store->Read(std::string(kTotals), all);
  if (totals.status != StoreStatus::kOk) co_return false;
  // '0' is the character after '/'.
  const platform::KeyRange mine{this->vm + '/', this->vm + '0'};
  const coordination::TimePoint asked = Now();
  platform::StoreAnswer shares =
      co_await this->store->Read(std::string(kShares), mine);
  if (shares.status != StoreStatus::kOk) co_return false;
  desk.SetReachable(true);
  desk.OnStoreClock(shares.store_ms, asked, Now());
  std::vector<StoreRow> rows = std::move(totals.rows);
  for (StoreRow& row : shares.rows) rows.push_back(std::move(row));
  desk.OnRead(this->Collect(rows, organisations));
  co_return true;
}

void BudgetKeeper::LogLimits(const std::vector<BudgetRows>& rows) {
  for (const BudgetRows& row : rows) {
    std::string pairs = KeyValue("organisation", row.organisation);
    pairs += ' ' + KeyValue("limit", row.share.limit);
    pairs += ' ' + KeyValue("spent", row.share.spent);
    pairs += ' ' + KeyValue("fleet_committed", row.total.committed);
    pairs += ' ' + KeyValue("fleet_spent", row.total.known_spent);
    this->context.log->Write(LogKind::kBudget, pairs, Now());
  }
}

http::Task<bool> BudgetKeeper::WriteRows(std::vector<BudgetRows> rows) {
  policy::BudgetDesk& desk = this->context.core->Budgets();
  std::vector<StoreRow> puts;
  std::vector<std::string> organisations;
  for (const BudgetRows& row : rows) {
    organisations.push_back(row.organisation);
    puts.push_back({std::string(kTotals), row.organisation, Encode(row.total),
                    row.total_version});
    puts.push_back({std::string(kShares), this->ShareKey(row.organisation),
                    Encode(row.share), row.share_version});
  }
  const coordination::TimePoint asked = Now();
  platform::StoreAnswer answer = co_await this->store->Write(puts);
  const bool answered = answer.status == StoreStatus::kOk ||
                        answer.status == StoreStatus::kConflict;
  this->context.metrics->Add(Counter::kStoreCalls);
  if (!answered) this->context.metrics->Add(Counter::kStoreFailures);
  desk.SetReachable(answered);
  if (answered) desk.OnStoreClock(answer.store_ms, asked, Now());
  switch (answer.status) {
    case StoreStatus::kOk:
      desk.OnWritten(answer.version);
      this->LogLimits(rows);
      co_return true;
    case StoreStatus::kConflict:
      desk.OnNotWritten();
      desk.OnRead(this->Collect(answer.rows, organisations));
      co_return true;
    case StoreStatus::kUnknown:
      desk.OnUnknown();
      break;
    default:
      desk.OnNotWritten();
      break;
  }
  this->context.log->Write(
      LogKind::kBudget,
      KeyValue("outcome", answer.status == StoreStatus::kUnknown
                              ? "write_unknown"
                              : "write_refused") +
          ' ' +
          KeyValue("organisations", static_cast<std::int64_t>(rows.size())),
      Now());
  co_return false;
}

}  // namespace hornbeamspool::gateway
