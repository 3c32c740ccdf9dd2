#include "coordination/escrow.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hornbeamspool::coordination {

std::optional<EscrowLedger> EscrowLedger::AfterGrant(
    std::int64_t amount) const {
  EscrowLedger next = *this;
  next.granted += amount;
  if (next.granted < 0) return std::nullopt;
  if (next.granted > next.total) return std::nullopt;
  return next;
}

void GrantAccount::Add(std::int64_t amount) {
  assert(amount >= 0);
  this->granted += amount;
}

bool GrantAccount::Reserve(std::int64_t amount) {
  if (amount < 0) return false;
  if (amount > this->Available()) return false;
  this->reserved += amount;
  return true;
}

std::int64_t GrantAccount::Settle(std::int64_t reserved, std::int64_t used) {
  const std::int64_t spent = std::clamp<std::int64_t>(used, 0, reserved);
  this->reserved -= reserved;
  this->spent += spent;
  assert(this->Consistent());
  return spent;
}

void GrantAccount::Refund(std::int64_t amount) {
  this->spent -= amount;
  assert(this->Consistent());
}

std::int64_t GrantAccount::Withdraw(std::int64_t amount) {
  const std::int64_t removed =
      std::clamp<std::int64_t>(amount, 0, this->Available());
  this->granted -= removed;
  return removed;
}

bool GrantAccount::Consistent() const {
  if (this->reserved < 0) return false;
  if (this->spent < 0) return false;
  return this->reserved + this->spent <= this->granted;
}

std::int64_t TargetAvailable(const GrantDemand& demand) {
  // The fair share of a holder is the remaining units / (kPartsPerHolder *
  // holders), which leaves at least half of them to others.
  constexpr std::int64_t kPartsPerHolder = 2;

  const double horizon_s =
      std::chrono::duration<double>(demand.horizon).count();
  const auto expected =
      static_cast<std::int64_t>(std::ceil(demand.units_per_second * horizon_s));
  const std::int64_t remaining =
      demand.ungranted + std::max<std::int64_t>(0, demand.available);
  const std::int64_t fair_share =
      remaining / (kPartsPerHolder * std::max<std::int64_t>(demand.holders, 1));
  return std::min(expected, fair_share);
}

std::int64_t GrantChange(const GrantDemand& demand) {
  // Deadband around the target, to save writes: from target * kMinNumerator /
  // kMinDenominator to target * kMaxFactor.
  constexpr std::int64_t kMaxFactor = 2;
  constexpr std::int64_t kMinNumerator = 3;
  constexpr std::int64_t kMinDenominator = 4;

  const std::int64_t target = TargetAvailable(demand);
  if (demand.needed > 0) {
    if (demand.needed > demand.ungranted) return 0;
    return std::clamp(target, demand.needed, demand.ungranted);
  }
  if (demand.available > kMaxFactor * target) return target - demand.available;
  if (demand.available >= target / kMinDenominator * kMinNumerator) return 0;
  const std::int64_t change =
      std::min(target - demand.available, demand.ungranted);
  // Don't draw a grant that is too small for a typical request: no holder could
  // use it.
  return demand.available + change < demand.typical ? 0 : change;
}

}  // namespace hornbeamspool::coordination
