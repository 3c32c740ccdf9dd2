// Prepaid budgets as one node sees them: grants drawn from the store,
// reservations against them, and requests that wait for the next grant.
//
// Safety rests on the grants alone. A grant counts here only after the table
// has confirmed it, and units handed back leave the local account before the
// write that returns them, so that an answer lost either way strands units and
// never creates them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/escrow.h"
#include "coordination/time.h"
#include "policy/error_kind.h"
#include "policy/event.h"
#include "policy/table_messages.h"

namespace hornbeamspool::policy {

enum class ReserveVerdict : std::uint8_t {
  kReserved,
  kWaiting,  // the outcome comes later, in BudgetOutcome
  kExhausted,
  kUnavailable,
  kCount
};

// A request that waited and got its units, or did not.
struct WaiterOutcome {
  std::uint64_t reservation = 0;
  bool reserved = false;
  ErrorKind error = ErrorKind::kBudgetExhausted;
};

// What a call of GrantManager asks its caller to do.
struct BudgetOutcome {
  std::vector<WaiterOutcome> waiters;
  std::vector<TableCommand> commands;
  std::vector<Event> events;
};

// How a node sizes its grants. The others are baselines to measure against.
enum class GrantPolicy : std::uint8_t {
  kEscrow,       // by demand, by what is left, and by the outage to outlast
  kStaticSplit,  // an equal part for each holder, once
  kCentral,      // each request draws for itself and hands back what is left
  kCount
};

// A node's figures of one budget, for operators.
struct GrantStats {
  std::int64_t granted = 0;
  std::int64_t reserved = 0;
  std::int64_t spent = 0;
};

class GrantManager {
 public:
  explicit GrantManager(GrantPolicy policy = GrantPolicy::kEscrow)
      : policy(policy) {}

  // `holders` is the number of live nodes that may draw on a budget.
  void SetHolders(std::int64_t holders) { this->holders = holders; }

  // Sets aside `amount` units for `reservation`.
  ReserveVerdict Reserve(std::string_view budget, std::int64_t amount,
                         std::uint64_t reservation, coordination::TimePoint now,
                         BudgetOutcome& out);

  // Ends a reservation. Returns the units spent.
  std::int64_t Settle(std::string_view budget, std::int64_t reserved,
                      std::int64_t used, coordination::TimePoint now);

  // Takes back units billed by another node for the same request.
  void Refund(std::string_view budget, std::int64_t amount);

  void OnRead(const BudgetRead& read, coordination::TimePoint now,
              BudgetOutcome& out);
  void OnWritten(const GrantWritten& written, coordination::TimePoint now,
                 BudgetOutcome& out);

  // Refuses requests that have waited too long, and reviews grants that are
  // due: units far above the target are handed back.
  void OnTick(coordination::TimePoint now, BudgetOutcome& out);

  // Hands every unspent unit back. Call again after each reply and tick until
  // AllReturned().
  void ReturnAll(coordination::TimePoint now, BudgetOutcome& out);
  bool AllReturned() const;

  std::int64_t Spent(std::string_view budget) const;
  std::map<std::string, GrantStats> AllStats() const;

  // True when every account keeps its invariant.
  bool Consistent() const;

 private:
  enum class Step : std::uint8_t { kIdle, kReading, kWriting };

  struct Waiter {
    std::uint64_t reservation = 0;
    std::int64_t amount = 0;
    coordination::TimePoint deadline{};
  };

  struct Account {
    std::string name;
    coordination::GrantAccount grant;
    std::int64_t confirmed = 0;  // this node's grant row
    coordination::EscrowLedger ledger;
    std::int64_t version = 0;  // of the budget row; 0 when not read
    Step step = Step::kIdle;
    std::int64_t writing = 0;    // amount of the write under way
    std::int64_t returning = 0;  // units withdrawn and not yet handed back
    std::uint64_t operation = 0;
    bool unresolved = false;  // the last write's answer was lost
    std::deque<Waiter> waiters;
    double units_per_second = 0;   // recent spending
    std::int64_t last_amount = 0;  // of the latest request
    coordination::TimePoint demand_at{};
    coordination::TimePoint review_at{};
    coordination::TimePoint retry_at{};  // no draw before this
    ErrorKind last_refusal = ErrorKind::kBudgetExhausted;
  };

  Account& AccountOf(std::string_view budget);
  const Account* Find(std::string_view budget) const;
  void NoteSpending(Account& account, std::int64_t amount,
                    coordination::TimePoint now);
  coordination::GrantDemand DemandOf(const Account& account) const;
  std::int64_t ChangeOf(const Account& account) const;
  coordination::Duration ReviewInterval(const Account& account) const;
  void StartDraw(Account& account, coordination::TimePoint now,
                 BudgetOutcome& out);
  void Draw(Account& account, coordination::TimePoint now, BudgetOutcome& out);
  void EmitWrite(Account& account, std::int64_t amount, BudgetOutcome& out);
  void ExpireWaiters(Account& account, coordination::TimePoint now,
                     BudgetOutcome& out);
  void ServeWaiters(Account& account, BudgetOutcome& out);
  void RefuseUnpayable(Account& account, BudgetOutcome& out);
  void RefuseWaiters(Account& account, ErrorKind error,
                     coordination::TimePoint retry_at, BudgetOutcome& out);
  void FailDraw(Account& account, ErrorKind error, coordination::TimePoint now,
                BudgetOutcome& out);
  void ContinueReturn(Account& account, BudgetOutcome& out);

  std::map<std::string, Account, std::less<>> accounts;
  std::set<Account*> waiting;  // accounts with requests that wait
  coordination::TimePoint next_scan{};
  GrantPolicy policy;
  std::int64_t holders = 1;
  std::uint64_t next_operation = 1;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
