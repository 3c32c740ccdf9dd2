// Prepaid budgets at one node, as grants drawn from the store.
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

// The result of a reservation.
enum class ReserveVerdict : std::uint8_t {
  kReserved,
  kWaiting,      // for a grant; the result follows as a WaiterOutcome
  kExhausted,    // the budget can't cover the request
  kUnavailable,  // the store did not answer, or too many requests wait
  kCount
};

// The result of a reservation that has waited.
struct WaiterOutcome {
  std::uint64_t reservation = 0;
  bool reserved = false;
  ErrorKind error = ErrorKind::kBudgetExhausted;  // if not reserved
};

// What the caller of GrantManager is to do: answer waiting requests, send
// commands to the store and log events.
struct BudgetOutcome {
  std::vector<WaiterOutcome> waiters;
  std::vector<TableCommand> commands;
  std::vector<Event> events;
};

// How a node sizes its grants. kStaticSplit and kCentral are baselines for
// measurements.
enum class GrantPolicy : std::uint8_t {
  kEscrow,       // by demand, remaining units and the outage to bridge
  kStaticSplit,  // once, an equal part for each holder
  kCentral,      // each request draws its own units and returns the rest
  kCount
};

// State of one budget's grant at a node, for operators. All are in units.
struct GrantStats {
  std::int64_t granted = 0;
  std::int64_t reserved = 0;
  std::int64_t spent = 0;
};

// Draws grants of the budgets for this node, reserves units of them for
// requests and queues requests that wait for the next grant.
//
// A grant counts only once the store has confirmed it. Units to return leave
// the account before the write that returns them. So if the answer to a write
// is lost, units may be stranded (granted, but unusable), but none are created.
class GrantManager {
 public:
  explicit GrantManager(GrantPolicy policy = GrantPolicy::kEscrow)
      : policy(policy) {}

  // Sets the number of live nodes that draw on the budgets.
  void SetHolders(std::int64_t holders) { this->holders = holders; }

  // Reserves `amount` units for the request identified by `reservation`.
  ReserveVerdict Reserve(std::string_view budget, std::int64_t amount,
                         std::uint64_t reservation, coordination::TimePoint now,
                         BudgetOutcome& out);

  // Ends a reservation of `reserved` units, of which `used` were spent. Returns
  // the units spent.
  std::int64_t Settle(std::string_view budget, std::int64_t reserved,
                      std::int64_t used, coordination::TimePoint now);

  // Undoes the spending of units that another node has billed for the same
  // request.
  void Refund(std::string_view budget, std::int64_t amount);

  // The store's replies to commands.
  void OnRead(const BudgetRead& read, coordination::TimePoint now,
              BudgetOutcome& out);
  void OnWritten(const GrantWritten& written, coordination::TimePoint now,
                 BudgetOutcome& out);

  // To be called periodically. Refuses requests that have waited too long, and
  // reviews grants: units far above the target are returned.
  void OnTick(coordination::TimePoint now, BudgetOutcome& out);

  // Starts to return all unspent units. To be called again after each reply and
  // tick until AllReturned().
  void ReturnAll(coordination::TimePoint now, BudgetOutcome& out);
  bool AllReturned() const;

  // Units that this node has spent of the budget.
  std::int64_t Spent(std::string_view budget) const;
  // By budget.
  std::map<std::string, GrantStats> AllStats() const;

  // Whether the invariants of all accounts hold.
  bool Consistent() const;

 private:
  enum class Step : std::uint8_t { kIdle, kReading, kWriting };

  // A request that waits for a grant.
  struct Waiter {
    std::uint64_t reservation = 0;
    std::int64_t amount = 0;
    coordination::TimePoint deadline{};
  };

  // One budget.
  struct Account {
    std::string name;
    coordination::GrantAccount grant;
    std::int64_t confirmed = 0;         // this node's stored grant
    coordination::EscrowLedger ledger;  // as last known in the store
    std::int64_t version = 0;    // of the budget row; 0: to be read again
    Step step = Step::kIdle;     // the outstanding command
    std::int64_t writing = 0;    // amount of the outstanding write
    std::int64_t returning = 0;  // withdrawn units, not yet returned
    std::uint64_t operation = 0;
    bool unresolved = false;  // the outcome of the last write is unknown
    std::deque<Waiter> waiters;
    double units_per_second = 0;          // recent spending
    std::int64_t last_amount = 0;         // of the latest request
    coordination::TimePoint demand_at{};  // last update of `units_per_second`
    coordination::TimePoint review_at{};
    coordination::TimePoint retry_at{};  // no draw before this
    ErrorKind last_refusal = ErrorKind::kBudgetExhausted;
  };

  Account& AccountOf(std::string_view budget);
  const Account* Find(std::string_view budget) const;
  void UpdateSpendingRate(Account& account, std::int64_t amount,
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
  void RefuseUncovered(Account& account, BudgetOutcome& out);
  void RefuseWaiters(Account& account, ErrorKind error,
                     coordination::TimePoint retry_at, BudgetOutcome& out);
  void FailDraw(Account& account, ErrorKind error, coordination::TimePoint now,
                BudgetOutcome& out);
  void ContinueReturn(Account& account, BudgetOutcome& out);

  std::map<std::string, Account, std::less<>> accounts;
  std::set<Account*> waiting;  // accounts with waiting requests
  coordination::TimePoint next_scan{};
  GrantPolicy policy;
  std::int64_t holders = 1;
  std::uint64_t next_operation = 1;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
