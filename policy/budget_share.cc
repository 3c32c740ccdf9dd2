#include "policy/budget_share.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {
namespace {

// Demand rises at once and decays with this time, so that a hot organisation's
// limits stay large for the length of an outage.
constexpr double kDemandDecaySeconds = 6.0;

// A request's weight in the size of a usual one.
constexpr double kTypicalWeight = 0.05;

constexpr std::int64_t kMsPerSecond = 1000;

}  // namespace

std::int64_t NextLimit(const LimitRequest& request, const BudgetTotal& total) {
  const std::int64_t others = total.committed - request.held;
  const std::int64_t room =
      std::max<std::int64_t>(0, request.prepaid - others - request.least);
  std::int64_t extra = 0;
  if (request.needed > request.least) {
    const std::int64_t lacking = request.needed - request.least;
    if (lacking <= room) extra = lacking;
  }
  const std::int64_t already = std::clamp<std::int64_t>(
      request.held - request.least - extra, 0, room - extra);
  const std::int64_t foresight =
      std::max<std::int64_t>(0, request.wanted - request.least - extra);
  if (foresight <= already) return request.least + extra + foresight;
  const std::int64_t unclaimed = room - extra - already;
  return request.least + extra + already +
         std::min(foresight - already, unclaimed / 2);
}

std::int64_t BudgetShare::CapAt(std::int64_t store_ms) const {
  // A store clock that went back says nothing of the time that has passed.
  if (store_ms < this->checkpoint_ms) return this->limit;
  const std::int64_t elapsed_ms = store_ms - this->checkpoint_ms;
  const std::int64_t per_second = elapsed_ms < this->initial_rate_ms
                                      ? this->initial_per_second
                                      : this->per_second;
  const std::int64_t paced = per_second * elapsed_ms / kMsPerSecond;
  return std::min(this->limit, this->committed + this->burst + paced);
}

bool BudgetAccount::Reserve(std::int64_t amount, std::int64_t bound) {
  const double weight = this->typical == 0 ? 1 : kTypicalWeight;
  this->typical += weight * (static_cast<double>(amount) - this->typical);
  if (this->Committed() + amount > bound) return false;
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
  const double now =
      static_cast<double>(committed - this->spent_at_sample) / seconds;
  this->spent_at_sample = committed;
  const double keep = std::exp(-seconds / kDemandDecaySeconds);
  this->demand = std::max(0.0, this->demand * keep + now * (1 - keep));
}

}  // namespace hornbeamspool::policy
