// The order in which requests yield when a resource is short: retries before
// first attempts, less urgent ones before more urgent ones, and within a
// priority those that need the most work for the time that they have left.
// Keeps the distribution of the offered work over that order.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class YieldOrder {
 public:
  static constexpr std::int64_t kPriorities = 10;

  // A request's part of the offered work: 0 yields first, 1 last.
  struct Range {
    double begin = 0;
    double end = 1;
  };

  // Counts a request that asks for the resource. Returns its part.
  Range Offer(std::int64_t priority, bool first_attempt, std::int64_t work,
              coordination::Duration time_left, coordination::TimePoint now);
  // As Offer(), without counting the request.
  Range Find(std::int64_t priority, bool first_attempt, std::int64_t work,
             coordination::Duration time_left) const;

  // The fraction of the requests in `range` that are served when the fraction
  // `shed` of the offered work has to yield, and each part of the order is
  // served at least at the fraction `floor`.
  static double ServedFraction(Range range, double shed, double floor);

 private:
  // Buckets of work per second of time left, one for each power of two.
  static constexpr std::int64_t kSizes = 24;
  static constexpr std::size_t kCells =
      static_cast<std::size_t>(2 * kPriorities * kSizes);

  static std::size_t CellOf(std::int64_t priority, bool first_attempt,
                            std::int64_t work,
                            coordination::Duration time_left);
  void Refresh(coordination::TimePoint now);

  std::array<double, kCells> work{};  // exponentially decaying, by cell
  std::array<double, kCells> begin{};
  std::array<double, kCells> end{};
  coordination::TimePoint refreshed_at{};
};

}  // namespace hornbeamspool::policy
