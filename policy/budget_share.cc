#include "policy/budget_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

// Time constant of the average of the demand: long enough for the limits of a
// busy organisation to stay high during an outage of the store.
constexpr double kDemandDecaySeconds = 6.0;

// Weight of one request in the average request size.
constexpr double kTypicalWeight = 0.05;

constexpr std::int64_t kMsPerSecond = 1000;

}  // namespace

std::int64_t NextLimit(const LimitRequest& request, const BudgetTotal& total) {
  const std::int64_t other_limits = total.committed - request.current_limit;
  // How far the limit may exceed what is committed.
  const std::int64_t headroom = std::max<std::int64_t>(
      0, request.prepaid - other_limits - request.committed);
  const std::int64_t shortfall =
      std::max<std::int64_t>(0, request.needed - request.committed);
  const std::int64_t granted = shortfall <= headroom ? shortfall : 0;
  // Of the current limit, what is left for the expected demand.
  const std::int64_t kept = std::clamp<std::int64_t>(
      request.current_limit - request.committed - granted, 0,
      headroom - granted);
  const std::int64_t expected =
      std::max<std::int64_t>(0, request.wanted - request.committed - granted);
  if (expected <= kept) return request.committed + granted + expected;
  const std::int64_t unclaimed = headroom - granted - kept;
  return request.committed + granted + kept +
         std::min(expected - kept, unclaimed / 2);
}

std::int64_t BudgetShare::CapAt(std::int64_t store_ms) const {
  // If the store's clock went back, the elapsed time is not known.
  if (store_ms < this->checkpoint_ms) return this->limit;
  const std::int64_t elapsed_ms = store_ms - this->checkpoint_ms;
  const std::int64_t initial_ms = std::min(elapsed_ms, this->initial_rate_ms);
  const std::int64_t initial =
      this->initial_per_second * initial_ms / kMsPerSecond;
  std::int64_t refilled = initial;
  if (elapsed_ms >= this->initial_rate_ms) {
    refilled = this->per_second * elapsed_ms / kMsPerSecond;
    const std::int64_t caught_up = initial + this->catch_up_per_second *
                                                 (elapsed_ms - initial_ms) /
                                                 kMsPerSecond;
    if (this->catch_up_per_second > 0) refilled = std::min(refilled, caught_up);
  }
  return std::min(this->limit, this->committed + this->burst + refilled);
}

bool BudgetAccount::Reserve(std::int64_t amount, std::int64_t cap) {
  const double weight = this->typical == 0 ? 1 : kTypicalWeight;
  this->typical += weight * (static_cast<double>(amount) - this->typical);
  if (this->Committed() + amount > cap) return false;
  this->reserved += amount;
  return true;
}

void BudgetAccount::Settle(std::int64_t amount, std::int64_t used) {
  this->reserved -= amount;
  this->spent += std::clamp<std::int64_t>(used, 0, amount);
}

void BudgetAccount::SampleDemand(coordination::Duration elapsed) {
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (seconds <= 0) return;
  const std::int64_t committed = this->Committed();
  const double current =
      static_cast<double>(committed - this->committed_at_sample) / seconds;
  this->committed_at_sample = committed;
  const double decay = std::exp(-seconds / kDemandDecaySeconds);
  this->demand = std::max(0.0, this->demand * decay + current * (1 - decay));
}

}  // namespace hornbeamspool::policy
