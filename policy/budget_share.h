// An organisation's prepaid tokens, split into spending limits. A VM may spend
// up to its limit without any message; the limits of all VMs, those of ended
// processes included, never add up to more than what was prepaid. What a limit
// leaves unspent when its process dies without a word stays stranded.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// What all VMs share of one budget: a row in the store.
struct BudgetTotal {
  std::int64_t committed = 0;    // sum of all limits ever set, less handed back
  std::int64_t known_spent = 0;  // spending that has been checkpointed
};

// One VM's part of a budget: a row in the store, written by that VM alone.
//
// Besides its limit the process keeps a pace: since the checkpoint it spends no
// faster than `burst` tokens at once and so many tokens a second. So a
// successor on the same VM knows from the store's clock what was not spent,
// and strands little, although the limit covers a long outage. The pace is
// lower while the checkpoint is young: a process that was killed is back by
// then, and one that lives writes the next checkpoint.
struct BudgetShare {
  std::uint64_t incarnation = 0;   // of the process that holds the limit
  std::int64_t limit = 0;          // tokens it may spend in its life
  std::int64_t spent = 0;          // at the checkpoint
  std::int64_t committed = 0;      // at the checkpoint: spent and reserved
  std::int64_t checkpoint_ms = 0;  // by the store's clock
  std::int64_t burst = 0;
  std::int64_t per_second = 0;  // once the checkpoint is `initial_rate_ms` old
  std::int64_t initial_per_second = 0;  // until then
  std::int64_t initial_rate_ms = 0;

  // The most that may have been spent at this time of the store's clock.
  std::int64_t CapAt(std::int64_t store_ms) const;
};

// The limit that a process asks for.
struct LimitRequest {
  std::int64_t prepaid = 0;
  std::int64_t held = 0;    // its limit now
  std::int64_t least = 0;   // spent and reserved: can't go lower
  std::int64_t needed = 0;  // with the requests that wait for tokens
  std::int64_t wanted = 0;  // with what it expects to spend in an outage
};

// The limit to set. Requests that wait may take all that is left; foresight
// takes half of the rest at most, so that the other VMs find some.
std::int64_t NextLimit(const LimitRequest& request, const BudgetTotal& total);

// A process's spending of one budget.
class BudgetAccount {
 public:
  // Sets aside `amount` tokens. False, and nothing changes, when that would
  // pass `bound`.
  bool Reserve(std::int64_t amount, std::int64_t bound);
  // Ends a reservation, of which `used` tokens were spent; more than `amount`
  // is counted as `amount`.
  void Settle(std::int64_t amount, std::int64_t used);
  // Reserves and spends at once what the caller knows to be there.
  void Spend(std::int64_t amount) {
    this->Reserve(amount, this->Committed() + amount);
    this->Settle(amount, amount);
  }

  std::int64_t Spent() const { return this->spent; }
  std::int64_t Reserved() const { return this->reserved; }
  std::int64_t Committed() const { return this->spent + this->reserved; }

  // Notes the demand of the time since the last call.
  void SampleDemand(coordination::Duration elapsed);
  // Takes over the demand that a predecessor had seen.
  void InheritDemand(double per_second) {
    if (this->demand == 0) this->demand = per_second;
  }
  // Tokens a second that requests have lately asked for.
  double DemandPerSecond() const { return this->demand; }
  // Tokens that a usual request asks for.
  std::int64_t TypicalRequest() const {
    return static_cast<std::int64_t>(this->typical);
  }

 private:
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  double typical = 0;
  std::int64_t spent_at_sample = 0;
  double demand = 0;
};

}  // namespace hornbeamspool::policy
