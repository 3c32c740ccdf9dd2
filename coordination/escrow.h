// Escrow of a counted resource: an issuer splits a total into grants, and each
// holder spends its grant without sending a message. Spending never exceeds the
// total, without consensus. If a holder is partitioned or crashes, at most its
// grant is unavailable to the others.
#pragma once

#include <cstdint>
#include <optional>

#include "coordination/time.h"

namespace hornbeamspool::coordination {

// The issuer's record of one resource. Invariant: 0 <= granted <= total.
struct EscrowLedger {
  std::int64_t total = 0;    // units that exist
  std::int64_t granted = 0;  // units granted to holders and not returned

  std::int64_t Ungranted() const { return this->total - this->granted; }

  // The ledger after `amount` more units are granted, or returned when
  // negative. Empty if that would violate the invariant.
  std::optional<EscrowLedger> AfterGrant(std::int64_t amount) const;
};

// A holder's account of its grant.
// Invariant: reserved >= 0, spent >= 0, reserved + spent <= granted.
class GrantAccount {
 public:
  // Adds units that the issuer has confirmed.
  void Add(std::int64_t amount);

  // Reserves `amount` units. Returns false and changes nothing if `amount` is
  // negative or exceeds the available units.
  bool Reserve(std::int64_t amount);

  // Ends a reservation of `reserved` units of which `used` were spent. `used`
  // is clamped to [0, reserved]. Returns the units spent.
  std::int64_t Settle(std::int64_t reserved, std::int64_t used);

  // Makes units available again that were counted as spent by mistake, for
  // example because another holder had already billed the request.
  void Refund(std::int64_t amount);

  // Removes up to `amount` available units from the grant, to be returned to
  // the issuer. Returns the units removed.
  std::int64_t Withdraw(std::int64_t amount);

  std::int64_t Granted() const { return this->granted; }
  std::int64_t Reserved() const { return this->reserved; }
  std::int64_t Spent() const { return this->spent; }
  std::int64_t Available() const {
    return this->granted - this->reserved - this->spent;
  }
  // Whether the invariant holds.
  bool Consistent() const;

 private:
  std::int64_t granted = 0;
  std::int64_t reserved = 0;
  std::int64_t spent = 0;
};

// The inputs that determine the size of a holder's grant.
struct GrantDemand {
  std::int64_t needed = 0;         // units that waiting requests are short of
  std::int64_t available = 0;      // unreserved units of the holder's grant
  std::int64_t typical = 0;        // units of a typical request
  double units_per_second = 0;     // recent spending rate of this holder
  std::int64_t ungranted = 0;      // units that the issuer has not granted
  std::int64_t holders = 1;        // live holders that draw on the resource
  Duration horizon = Duration(0);  // period of spending to cover
};

// Units that a holder should have available: its expected spending over the
// horizon, capped at its fair share of the remaining units. The fair share
// shrinks as the resource runs out, so that few of the last units are unusable
// because an idle or crashed holder has them.
std::int64_t TargetAvailable(const GrantDemand& demand);

// Units to draw from the issuer (positive) or to return to it (negative) now.
// Zero while the available units are between 3/4 of the target and twice the
// target, unless requests wait.
std::int64_t GrantChange(const GrantDemand& demand);

}  // namespace hornbeamspool::coordination
