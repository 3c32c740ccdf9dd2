#include "policy/part_popularity.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

constexpr double kMinCount = 0.5;

}  // namespace

void PartPopularity::OnAnswered(std::span<const std::uint64_t> parts,
                                coordination::TimePoint now) {
  if (now - this->halved_at >= kHalvingInterval) this->Halve(now);
  this->answers += 1;
  for (const std::uint64_t part : parts) this->counts[part] += 1;
  while (this->counts.size() > kMaxParts) this->Halve(now);
}

double PartPopularity::ShareOf(std::uint64_t part) const {
  constexpr double kPrior = 0.5;  // answers
  const auto found = this->counts.find(part);
  const double count = found == this->counts.end() ? 0 : found->second;
  return std::min(1.0, (count + kPrior) / (this->answers + 2 * kPrior));
}

void PartPopularity::Halve(coordination::TimePoint now) {
  this->halved_at = now;
  this->answers /= 2;
  for (auto& [part, count] : this->counts) count /= 2;
  std::erase_if(this->counts,
                [](const auto& entry) { return entry.second < kMinCount; });
}

}  // namespace hornbeamspool::policy
