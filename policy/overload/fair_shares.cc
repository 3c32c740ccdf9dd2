#include "policy/overload/fair_shares.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>
#include <vector>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

constexpr double kDemandSeconds = 5;
constexpr double kUsualSeconds = 30;

// Weight of a request in the mean work of a request.
constexpr double kMeanWeight = 0.02;

// An organisation without usual rate has the share of one request in this time.
constexpr double kNewcomerSeconds = 5;

constexpr Duration kRefreshInterval = std::chrono::milliseconds(100);

// Entries below this fraction of one request are dropped.
constexpr double kNegligible = 0.001;

// A change of `shed` from which the shares are divided anew at once.
constexpr double kShedStep = 0.02;

}  // namespace

FairShares::Entry& FairShares::EntryOf(std::string_view organisation) {
  const auto found = this->entries.find(organisation);
  if (found != this->entries.end()) return found->second;
  if (this->entries.size() >= kMaxOrganisations) organisation = "(other)";
  return this->entries[std::string(organisation)];
}

void FairShares::Decay(TimePoint now) {
  if (now - this->decayed_at < kRefreshInterval) return;
  const double seconds =
      std::chrono::duration<double>(now - this->decayed_at).count();
  this->decayed_at = now;
  const double demand = std::exp(-seconds / kDemandSeconds);
  const double usual = std::exp(-seconds / kUsualSeconds);
  for (auto& [name, entry] : this->entries) {
    entry.demand *= demand;
    entry.usual *= usual;
  }
  std::erase_if(this->entries, [this](const auto& item) {
    return item.second.demand + item.second.usual <
           kNegligible * this->mean_work;
  });
}

void FairShares::Offer(std::string_view organisation, std::int64_t work,
                       TimePoint now) {
  this->Decay(now);
  const auto amount = static_cast<double>(work);
  this->mean_work +=
      this->mean_work == 0 ? amount : kMeanWeight * (amount - this->mean_work);
  this->EntryOf(organisation).demand += amount / kDemandSeconds;
}

void FairShares::OnServed(std::string_view organisation, std::int64_t work) {
  this->EntryOf(organisation).usual +=
      static_cast<double>(work) / kUsualSeconds;
}

// Raises the level of all shares until the demand that they cover equals the
// capacity: organisations in the order of demand over weight, those whose
// demand is covered leave their rest to those that follow.
void FairShares::Refresh(double shed, TimePoint now) {
  const bool fresh = now - this->refreshed_at < kRefreshInterval &&
                     std::abs(shed - this->refreshed_shed) < kShedStep;
  if (fresh) return;
  this->refreshed_at = now;
  this->refreshed_shed = shed;
  const double newcomer = this->mean_work / kNewcomerSeconds;
  std::vector<std::pair<double, Entry*>> order;
  double capacity = 0;
  double weights = 0;
  for (auto& [name, entry] : this->entries) {
    const double weight = entry.usual + newcomer;
    order.emplace_back(entry.demand / std::max(1e-9, weight), &entry);
    capacity += entry.demand * (1 - shed);
    weights += weight;
  }
  std::sort(order.begin(), order.end());
  const double floor = kFloor * (1 - shed);
  for (auto& [ratio, entry] : order) {
    const double weight = entry->usual + newcomer;
    const double share = capacity * weight / std::max(1e-9, weights);
    const double served = std::min(entry->demand, share);
    entry->served =
        entry->demand > 0 ? std::max(floor, served / entry->demand) : 1;
    capacity = std::max(0.0, capacity - served);
    weights -= weight;
  }
}

double FairShares::ShedFraction(std::string_view organisation, double shed,
                                TimePoint now) {
  if (shed <= 0) return 0;
  this->Refresh(shed, now);
  return 1 - this->EntryOf(organisation).served;
}

}  // namespace hornbeamspool::policy
