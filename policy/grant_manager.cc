#include "policy/grant_manager.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <optional>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Time that the spending covered by a full grant lasts. A grant is refilled
// when it falls below three quarters, so that it lasts for a store outage of
// one hour, with some reserve for the error of the estimate.
constexpr Duration kGrantHorizon = std::chrono::minutes(90);
// Maximum time that a request waits for a grant.
constexpr Duration kMaxWait = std::chrono::seconds(2);
// Time without draws after one that failed.
constexpr Duration kRetryAfterExhausted = std::chrono::seconds(1);
constexpr Duration kRetryAfterFailure = std::chrono::milliseconds(500);
// Time constant of the moving average of spending.
constexpr Duration kDemandWindow = std::chrono::minutes(10);
// Bounds of the interval between reviews of a grant. Within them, there are
// kReviewsUntilEnd reviews in the time that the budget is expected to last.
constexpr Duration kMinReviewInterval = std::chrono::seconds(5);
constexpr Duration kMaxReviewInterval = std::chrono::minutes(10);
constexpr double kReviewsUntilEnd = 4;
// Interval at which OnTick looks for grants whose review is due.
constexpr Duration kScanInterval = std::chrono::seconds(1);
// Maximum number of requests that wait for one budget.
constexpr std::size_t kMaxWaiters = 1000;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

ReserveVerdict GrantManager::Reserve(std::string_view budget,
                                     std::int64_t amount,
                                     std::uint64_t reservation, TimePoint now,
                                     BudgetOutcome& out) {
  Account& account = this->AccountOf(budget);
  account.last_amount = amount;
  // Waiting requests have priority.
  if (account.waiters.empty() && account.grant.Reserve(amount)) {
    if (this->ChangeOf(account) > 0) this->StartDraw(account, now, out);
    return ReserveVerdict::kReserved;
  }
  if (now < account.retry_at) {
    return account.last_refusal == ErrorKind::kBudgetExhausted
               ? ReserveVerdict::kExhausted
               : ReserveVerdict::kUnavailable;
  }
  if (account.waiters.size() >= kMaxWaiters) {
    return ReserveVerdict::kUnavailable;
  }
  account.waiters.push_back(Waiter{reservation, amount, now + kMaxWait});
  this->waiting.insert(&account);
  this->StartDraw(account, now, out);
  return ReserveVerdict::kWaiting;
}

std::int64_t GrantManager::Settle(std::string_view budget,
                                  std::int64_t reserved, std::int64_t used,
                                  TimePoint now) {
  Account& account = this->AccountOf(budget);
  const std::int64_t spent = account.grant.Settle(reserved, used);
  this->UpdateSpendingRate(account, spent, now);
  return spent;
}

void GrantManager::Refund(std::string_view budget, std::int64_t amount) {
  this->AccountOf(budget).grant.Refund(amount);
}

void GrantManager::OnRead(const BudgetRead& read, TimePoint now,
                          BudgetOutcome& out) {
  Account& account = this->AccountOf(read.budget);
  account.step = Step::kIdle;
  if (read.status == TableStatus::kNotFound) {
    this->FailDraw(account, ErrorKind::kBudgetExhausted, now, out);
    return;
  }
  if (read.status != TableStatus::kOk) {
    this->FailDraw(account, ErrorKind::kBudgetUnavailable, now, out);
    return;
  }
  account.ledger = read.ledger;
  account.version = read.version;
  // Only this node writes its grant row, so the row tells whether the write
  // whose answer was lost took effect.
  account.unresolved = false;
  const std::int64_t change = read.grant - account.confirmed;
  account.confirmed = read.grant;
  if (change > 0) account.grant.Add(change);
  if (change < 0) {
    account.returning = std::max<std::int64_t>(0, account.returning + change);
  }
  this->ServeWaiters(account, out);
  if (this->stopping) {
    this->ContinueReturn(account, out);
    return;
  }
  this->Draw(account, now, out);
}

void GrantManager::OnWritten(const GrantWritten& written, TimePoint now,
                             BudgetOutcome& out) {
  Account& account = this->AccountOf(written.budget);
  if (written.operation != account.operation) return;
  account.step = Step::kIdle;
  const std::int64_t amount = account.writing;
  account.writing = 0;
  if (written.status == TableStatus::kOk) {
    account.confirmed += amount;
    account.ledger.granted += amount;
    ++account.version;
    if (amount > 0) account.grant.Add(amount);
    if (amount < 0) account.returning += amount;
    Event event;
    event.kind =
        amount > 0 ? EventKind::kGrantDrawn : EventKind::kGrantReturned;
    event.budget = account.name;
    event.detail = KeyValue("amount", amount) + ' ' +
                   KeyValue("ungranted", account.ledger.Ungranted());
    out.events.push_back(std::move(event));
    this->ServeWaiters(account, out);
    if (this->stopping) this->ContinueReturn(account, out);
    if (!account.waiters.empty()) this->StartDraw(account, now, out);
    return;
  }
  // The rows have changed, or the answer was lost: read them again first.
  account.version = 0;
  if (written.status == TableStatus::kUnknown) account.unresolved = true;
  if (written.status == TableStatus::kUnavailable) {
    this->FailDraw(account, ErrorKind::kBudgetUnavailable, now, out);
    return;
  }
  this->StartDraw(account, now, out);
}

void GrantManager::OnTick(TimePoint now, BudgetOutcome& out) {
  for (auto next = this->waiting.begin(); next != this->waiting.end();) {
    Account& account = **next;
    this->ExpireWaiters(account, now, out);
    next = account.waiters.empty() ? this->waiting.erase(next) : ++next;
  }
  // Reviews are seconds apart, so scan the accounts less often than each tick.
  if (now < this->next_scan || this->stopping) return;
  this->next_scan = now + kScanInterval;
  for (auto& [name, account] : this->accounts) {
    const bool review = now >= account.review_at &&
                        account.step == Step::kIdle &&
                        account.confirmed > account.grant.Spent();
    if (!review) continue;
    this->UpdateSpendingRate(account, 0, now);
    account.review_at = now + this->ReviewInterval(account);
    account.version = 0;
    this->StartDraw(account, now, out);
  }
}

void GrantManager::ExpireWaiters(Account& account, TimePoint now,
                                 BudgetOutcome& out) {
  while (!account.waiters.empty() && account.waiters.front().deadline <= now) {
    out.waiters.push_back(WaiterOutcome{account.waiters.front().reservation,
                                        false, ErrorKind::kBudgetUnavailable});
    account.waiters.pop_front();
  }
}

void GrantManager::ReturnAll(TimePoint now, BudgetOutcome& out) {
  this->stopping = true;
  for (auto& [name, account] : this->accounts) {
    if (now < account.retry_at) continue;
    this->ContinueReturn(account, out);
  }
}

bool GrantManager::AllReturned() const {
  return std::all_of(
      this->accounts.begin(), this->accounts.end(), [](const auto& entry) {
        const Account& account = entry.second;
        return account.step == Step::kIdle && account.returning == 0 &&
               !account.unresolved && account.grant.Available() == 0;
      });
}

std::int64_t GrantManager::Spent(std::string_view budget) const {
  const Account* account = this->Find(budget);
  return account == nullptr ? 0 : account->grant.Spent();
}

std::map<std::string, GrantStats> GrantManager::AllStats() const {
  std::map<std::string, GrantStats> stats;
  for (const auto& [name, account] : this->accounts) {
    stats[name] = GrantStats{account.grant.Granted(), account.grant.Reserved(),
                             account.grant.Spent()};
  }
  return stats;
}

bool GrantManager::Consistent() const {
  return std::all_of(
      this->accounts.begin(), this->accounts.end(),
      [](const auto& entry) { return entry.second.grant.Consistent(); });
}

GrantManager::Account& GrantManager::AccountOf(std::string_view budget) {
  auto found = this->accounts.find(budget);
  if (found != this->accounts.end()) return found->second;
  Account account;
  account.name = std::string(budget);
  return this->accounts.emplace(account.name, account).first->second;
}

const GrantManager::Account* GrantManager::Find(std::string_view budget) const {
  auto found = this->accounts.find(budget);
  return found == this->accounts.end() ? nullptr : &found->second;
}

// Updates the exponentially weighted spending rate.
void GrantManager::UpdateSpendingRate(Account& account, std::int64_t amount,
                                      TimePoint now) {
  const double window_s = Seconds(kDemandWindow);
  const double elapsed_s = std::max(0.0, Seconds(now - account.demand_at));
  account.units_per_second *= std::exp(-elapsed_s / window_s);
  account.units_per_second += static_cast<double>(amount) / window_s;
  account.demand_at = now;
}

coordination::GrantDemand GrantManager::DemandOf(const Account& account) const {
  const std::int64_t waiting_amount = std::accumulate(
      account.waiters.begin(), account.waiters.end(), std::int64_t{0},
      [](std::int64_t sum, const Waiter& waiter) {
        return sum + waiter.amount;
      });
  coordination::GrantDemand demand;
  demand.needed =
      std::max<std::int64_t>(0, waiting_amount - account.grant.Available());
  demand.available = account.grant.Available();
  demand.typical = account.last_amount;
  demand.units_per_second = account.units_per_second;
  demand.ungranted = account.ledger.Ungranted();
  demand.holders = this->holders;
  demand.horizon = kGrantHorizon;
  return demand;
}

// Units to draw now, or to return when negative.
std::int64_t GrantManager::ChangeOf(const Account& account) const {
  const coordination::GrantDemand demand = this->DemandOf(account);
  if (this->policy == GrantPolicy::kEscrow) {
    return coordination::GrantChange(demand);
  }
  if (this->policy == GrantPolicy::kCentral) {
    const bool fits = demand.needed <= demand.ungranted;
    if (demand.needed > 0) return fits ? demand.needed : 0;
    return -demand.available;
  }
  const bool drawn = account.confirmed > 0;
  if (drawn) return 0;
  return std::min(account.ledger.total / this->holders, demand.ungranted);
}

// The time that the remaining units last if all holders spend as much as this
// one, divided by kReviewsUntilEnd and clamped to the bounds.
Duration GrantManager::ReviewInterval(const Account& account) const {
  if (this->policy == GrantPolicy::kCentral) return kMinReviewInterval;
  const double all_per_second =
      account.units_per_second * static_cast<double>(this->holders);
  const auto remaining = static_cast<double>(account.ledger.Ungranted() +
                                             account.grant.Available());
  const double max_s = Seconds(kMaxReviewInterval);
  if (all_per_second * max_s * kReviewsUntilEnd <= remaining) {
    return kMaxReviewInterval;
  }
  const double seconds = remaining / all_per_second / kReviewsUntilEnd;
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
  return std::max(interval, kMinReviewInterval);
}

void GrantManager::StartDraw(Account& account, TimePoint now,
                             BudgetOutcome& out) {
  if (account.step != Step::kIdle) return;
  if (now < account.retry_at) return;
  if (account.version > 0) {
    this->Draw(account, now, out);
    return;
  }
  account.step = Step::kReading;
  out.commands.emplace_back(ReadBudget{account.name});
}

// Writes the next change of the grant, sized from the cached ledger.
void GrantManager::Draw(Account& account, TimePoint now, BudgetOutcome& out) {
  if (this->stopping) return;
  // Withdrawn units are not used again: the write that returns them may have
  // been carried out.
  if (account.returning > 0) {
    this->EmitWrite(account, -account.returning, out);
    return;
  }
  this->RefuseUncovered(account, out);
  const std::int64_t amount = this->ChangeOf(account);
  account.review_at = now + this->ReviewInterval(account);
  if (amount == 0) {
    const bool exhausted = !account.waiters.empty() ||
                           account.grant.Available() < account.last_amount;
    if (!exhausted) return;
    // The cached ledger may be outdated, for example by a top-up.
    account.version = 0;
    this->RefuseWaiters(account, ErrorKind::kBudgetExhausted,
                        now + kRetryAfterExhausted, out);
    return;
  }
  if (amount < 0) {
    account.returning += account.grant.Withdraw(-amount);
    this->EmitWrite(account, -account.returning, out);
    return;
  }
  this->EmitWrite(account, amount, out);
}

void GrantManager::EmitWrite(Account& account, std::int64_t amount,
                             BudgetOutcome& out) {
  account.step = Step::kWriting;
  account.writing = amount;
  account.operation = this->next_operation++;
  WriteGrant write;
  write.budget = account.name;
  write.ledger = account.ledger;
  write.version = account.version;
  write.grant_before = account.confirmed;
  write.amount = amount;
  write.operation = account.operation;
  out.commands.emplace_back(std::move(write));
}

void GrantManager::ServeWaiters(Account& account, BudgetOutcome& out) {
  while (!account.waiters.empty()) {
    const Waiter& first = account.waiters.front();
    if (!account.grant.Reserve(first.amount)) return;
    out.waiters.push_back(WaiterOutcome{first.reservation, true});
    account.waiters.pop_front();
  }
}

// Refuses each waiting request that the remaining units can't cover in addition
// to the requests kept before it.
void GrantManager::RefuseUncovered(Account& account, BudgetOutcome& out) {
  std::int64_t left = account.grant.Available() + account.ledger.Ungranted();
  std::deque<Waiter> covered;
  for (const Waiter& waiter : account.waiters) {
    if (waiter.amount <= left) {
      left -= waiter.amount;
      covered.push_back(waiter);
      continue;
    }
    out.waiters.push_back(
        WaiterOutcome{waiter.reservation, false, ErrorKind::kBudgetExhausted});
  }
  account.waiters = std::move(covered);
}

// Refuses all waiting requests and stops draws until `retry_at`.
void GrantManager::RefuseWaiters(Account& account, ErrorKind error,
                                 TimePoint retry_at, BudgetOutcome& out) {
  account.retry_at = retry_at;
  account.last_refusal = error;
  for (const Waiter& waiter : account.waiters) {
    out.waiters.push_back(WaiterOutcome{waiter.reservation, false, error});
  }
  account.waiters.clear();
}

void GrantManager::FailDraw(Account& account, ErrorKind error, TimePoint now,
                            BudgetOutcome& out) {
  const bool exhausted = error == ErrorKind::kBudgetExhausted;
  this->RefuseWaiters(
      account, error,
      now + (exhausted ? kRetryAfterExhausted : kRetryAfterFailure), out);
  Event event;
  event.kind = EventKind::kDrawFailed;
  event.budget = account.name;
  event.detail = KeyValue("error", AnswerFor(error).name);
  out.events.push_back(std::move(event));
}

// Does the next step of returning units: reads the rows if they are not known,
// otherwise withdraws the available units and writes.
void GrantManager::ContinueReturn(Account& account, BudgetOutcome& out) {
  if (account.step != Step::kIdle) return;
  const bool due = account.returning > 0 || account.unresolved ||
                   account.grant.Available() > 0;
  if (!due) return;
  if (account.version == 0) {
    account.step = Step::kReading;
    out.commands.emplace_back(ReadBudget{account.name});
    return;
  }
  account.returning += account.grant.Withdraw(account.grant.Available());
  if (account.returning > 0) this->EmitWrite(account, -account.returning, out);
}

}  // namespace hornbeamspool::policy
