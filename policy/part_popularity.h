// Estimates which share of the recently answered requests holds a prompt part.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class PartPopularity {
 public:
  // An upstream began to answer a request with these parts.
  void OnAnswered(std::span<const std::uint64_t> parts,
                  coordination::TimePoint now);
  // Above 0 and at most 1, for unknown parts too.
  double ShareOf(std::uint64_t part) const;

 private:
  // The counts are halved at this interval, or when there are too many.
  static constexpr coordination::Duration kHalvingInterval =
      std::chrono::seconds(10);
  static constexpr std::size_t kMaxParts = 8192;

  void Halve(coordination::TimePoint now);

  double answers = 0;
  std::unordered_map<std::uint64_t, double> counts;
  coordination::TimePoint halved_at{};
};

}  // namespace hornbeamspool::policy
