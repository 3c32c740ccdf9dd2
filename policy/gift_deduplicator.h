// Which gifts of tokens this process has taken, so that each counts once.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class GiftDeduplicator {
 public:
  explicit GiftDeduplicator(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  // True the first time that a gift meant for this process comes. One meant for
  // a predecessor is not taken: nobody knows what it spent of it.
  bool Accept(std::uint64_t id, std::uint64_t receiver,
              coordination::TimePoint now);

 private:
  // Longer than a giver sends a gift again, and than a datagram is on its way.
  static constexpr coordination::Duration kMemory = std::chrono::seconds(60);

  struct Taken {
    std::uint64_t id = 0;
    coordination::TimePoint at{};
  };

  std::uint64_t incarnation;
  std::deque<Taken> order;  // the oldest first
  std::unordered_set<std::uint64_t> ids;
};

}  // namespace hornbeamspool::policy
