// Escrow of a counted resource. An issuer splits a total into grants; a holder
// spends its grant without any message. The size of a grant, and not agreement,
// bounds the harm done by a partition or by the death of a holder.
#pragma once

#include <cstdint>
#include <optional>

#include "coordination/time.h"

namespace hornbeamspool::coordination {

// The issuer's view of one resource. Invariant: 0 <= granted <= total.
struct EscrowLedger {
  std::int64_t total = 0;    // units that exist
  std::int64_t granted = 0;  // units handed to holders and not handed back

  std::int64_t Ungranted() const { return this->total - this->granted; }

  // The ledger after `amount` units more are granted (fewer, when negative).
  // Empty when the invariant would break.
  std::optional<EscrowLedger> AfterGrant(std::int64_t amount) const;
};

// The holder's view of its grant.
// Invariant: reserved >= 0, spent >= 0, reserved + spent <= granted.
class GrantAccount {
 public:
  // Adds units that the issuer has confirmed.
  void Add(std::int64_t amount);

  // Sets aside `amount` units. Returns false, and changes nothing, when fewer
  // are available.
  bool Reserve(std::int64_t amount);

  // Ends a reservation of `reserved` units of which `used` were spent.
  // `used` above `reserved` is cut to `reserved`.
  // Returns the units spent.
  std::int64_t Settle(std::int64_t reserved, std::int64_t used);

  // Takes back units that were counted as spent by mistake, for example
  // because another holder had already billed the same request.
  void Refund(std::int64_t amount);

  // Removes up to `amount` available units, so that they can be handed back to
  // the issuer. Returns the units removed.
  std::int64_t Withdraw(std::int64_t amount);

  std::int64_t Granted() const { return this->granted; }
  std::int64_t Reserved() const { return this->reserved; }
  std::int64_t Spent() const { return this->spent; }
  std::int64_t Available() const {
    return this->granted - this->reserved - this->spent;
  }
  bool Consistent() const;

 private:
  std::int64_t granted = 0;
  std::int64_t reserved = 0;
  std::int64_t spent = 0;
};

// What the size of a holder's grant follows from.
struct GrantDemand {
  std::int64_t needed = 0;         // units that waiting requests lack now
  std::int64_t available = 0;      // units the holder has and has not reserved
  std::int64_t typical = 0;        // units of a usual request
  double units_per_second = 0;     // recent spending at this holder
  std::int64_t ungranted = 0;      // units the issuer still has
  std::int64_t holders = 1;        // live holders that draw on the resource
  Duration horizon = Duration(0);  // spending that the grant should cover
};

// Units that a holder should have at hand: its spending over the horizon, and
// at most a fair part of what is left. The fair part shrinks as the resource
// runs out, so that no holder strands much of the end.
std::int64_t TargetAvailable(const GrantDemand& demand);

// Units to draw (positive) or to hand back (negative) now. Between three
// quarters of the target and twice the target nothing moves, unless a request
// waits.
std::int64_t GrantChange(const GrantDemand& demand);

}  // namespace hornbeamspool::coordination
