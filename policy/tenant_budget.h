// A tenant's prepaid tokens, split into spending limits. A VM may spend up to
// its limit without any message; the limits of all VMs, those of ended
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
struct BudgetShare {
  std::uint64_t incarnation = 0;  // of the process that holds the limit
  std::int64_t limit = 0;         // tokens it may spend in its life
  std::int64_t spent = 0;         // at the last checkpoint
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
class TenantAccount {
 public:
  // Sets aside `amount` tokens. False, and nothing changes, when the limit in
  // force leaves fewer.
  bool Reserve(std::int64_t amount);
  // Ends a reservation, of which `used` tokens were spent; more than `amount`
  // is counted as `amount`.
  void Settle(std::int64_t amount, std::int64_t used);

  void SetLimit(std::int64_t limit) { this->limit = limit; }
  std::int64_t Limit() const { return this->limit; }
  std::int64_t Spent() const { return this->spent; }
  std::int64_t Reserved() const { return this->reserved; }
  std::int64_t Available() const {
    return this->limit - this->spent - this->reserved;
  }
  std::int64_t Committed() const { return this->spent + this->reserved; }

  // Notes the demand of the time since the last call.
  void SampleDemand(coordination::Duration elapsed);
  // Tokens a second that requests have lately asked for.
  double DemandPerSecond() const { return this->demand; }
  std::int64_t LargestRequest() const { return this->largest; }

 private:
  std::int64_t limit = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  std::int64_t largest = 0;
  std::int64_t spent_at_sample = 0;
  double demand = 0;
};

}  // namespace hornbeamspool::policy
