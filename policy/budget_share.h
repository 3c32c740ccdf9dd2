// The arithmetic of an organisation's prepaid budget, which is split among VMs.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// The part of a budget that all VMs share. Stored as one row per organisation.
//
// An organisation's prepaid tokens are split into one share for each VM. A VM
// spends up to the limit of its share without a message. The limits of all
// shares, those of ended processes included, never add up to more than the
// prepaid tokens. Tokens are stranded if they are within a limit but can't be
// spent any more: a process that ends without a last checkpoint strands those
// that its successor can't prove to be unspent.
struct BudgetTotal {
  std::int64_t committed = 0;    // all limits ever set, less tokens returned
  std::int64_t known_spent = 0;  // tokens spent according to the checkpoints
};

// The share of a budget that one VM holds. Stored as one row, which only that
// VM writes. Each write is a checkpoint of what the process has spent.
//
// In addition to the limit, the process keeps to a rate limit (a token bucket
// that starts at the checkpoint): it commits at most `burst` tokens at once,
// plus a number of tokens per second. From the store's clock a successor on the
// VM then knows an upper bound on what was spent, and can return the rest,
// although the limit is large enough for a long outage of the store.
//
// The rate is lower for the first `initial_rate_ms` after the checkpoint: the
// successor of a killed process has started by then, so a kill strands less,
// and a process that lives writes its next checkpoint before. Where little of
// the budget is left, the cap then rises by `catch_up_per_second`, so that a
// kill with a longer downtime strands less, too.
struct BudgetShare {
  std::uint64_t incarnation = 0;   // of the process that holds the share
  std::int64_t limit = 0;          // tokens it may commit in its lifetime
  std::int64_t spent = 0;          // at the checkpoint
  std::int64_t committed = 0;      // at the checkpoint: spent and reserved
  std::int64_t checkpoint_ms = 0;  // time of the checkpoint, store's clock
  std::int64_t burst = 0;
  std::int64_t per_second = 0;  // from `initial_rate_ms` after the checkpoint
  std::int64_t initial_per_second = 0;  // before
  std::int64_t initial_rate_ms = 0;
  std::uint64_t era = 0;  // of the store when the row was written
  // From `initial_rate_ms` on, what the cap rises by until it has reached that
  // of `per_second`. 0: it reaches that at once.
  std::int64_t catch_up_per_second = 0;

  // The most tokens that the process may have committed by `store_ms` on the
  // store's clock: the rate limit's bound, at most `limit`.
  std::int64_t CapAt(std::int64_t store_ms) const;
};

// Inputs of NextLimit. All are in tokens.
struct LimitRequest {
  std::int64_t prepaid = 0;
  std::int64_t current_limit = 0;
  std::int64_t committed = 0;  // spent and reserved: the minimum of the limit
  std::int64_t needed = 0;     // `committed` and what waiting requests need
  std::int64_t wanted = 0;     // `committed` and the demand of an outage
};

// The limit to set next. Waiting requests get what they need if all of it is
// left. The expected demand of an outage gets at most half of the uncommitted
// rest, to leave some to other VMs.
std::int64_t NextLimit(const LimitRequest& request, const BudgetTotal& total);

// What a process has spent and reserved of a share, or of the gifts that it
// received, and an estimate of the demand.
class BudgetAccount {
 public:
  // Reserves `amount` tokens. Returns false if that would take Committed()
  // above `cap`; the request then counts for TypicalRequest() alone.
  bool Reserve(std::int64_t amount, std::int64_t cap);
  // Ends a reservation of `amount` tokens, of which `used` were spent. `used`
  // is clamped to [0, amount].
  void Settle(std::int64_t amount, std::int64_t used);
  // Spends tokens without a reservation. The caller has checked the cap.
  void Spend(std::int64_t amount) {
    this->Reserve(amount, this->Committed() + amount);
    this->Settle(amount, amount);
  }

  std::int64_t Spent() const { return this->spent; }
  std::int64_t Reserved() const { return this->reserved; }
  std::int64_t Committed() const { return this->spent + this->reserved; }

  // Updates the demand by what was committed since the last call, `elapsed`
  // ago.
  void SampleDemand(coordination::Duration elapsed);
  // Starts with the demand of a predecessor, if none was seen yet.
  void InheritDemand(double per_second) {
    if (this->demand == 0) this->demand = per_second;
  }
  // Moving average of the tokens committed per second.
  double DemandPerSecond() const { return this->demand; }
  // Moving average of the tokens that a request reserves.
  std::int64_t TypicalRequest() const {
    return static_cast<std::int64_t>(this->typical);
  }

 private:
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  double typical = 0;
  std::int64_t committed_at_sample = 0;
  double demand = 0;
};

}  // namespace hornbeamspool::policy
