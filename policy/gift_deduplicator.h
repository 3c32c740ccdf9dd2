// Deduplication of gifts, the tokens that one VM transfers to another.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_set>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Accepts each gift once: datagrams may arrive several times, and the giver
// sends a gift more than once.
class GiftDeduplicator {
 public:
  // `incarnation` of this process.
  explicit GiftDeduplicator(std::uint64_t incarnation)
      : incarnation(incarnation) {}

  // Returns true the first time that the gift `id` arrives for this process.
  // `receiver` is the incarnation that the gift was sent to. A gift to a
  // predecessor is rejected: the predecessor may have received and spent it.
  bool Accept(std::uint64_t id, std::uint64_t receiver,
              coordination::TimePoint now);

 private:
  // How long ids are remembered: longer than a giver keeps resending a gift
  // plus the longest transit time of a datagram.
  static constexpr coordination::Duration kRetention = std::chrono::seconds(60);

  struct Accepted {
    std::uint64_t id = 0;
    coordination::TimePoint at{};
  };

  std::uint64_t incarnation;
  std::deque<Accepted> accepted;          // oldest first
  std::unordered_set<std::uint64_t> ids;  // of `accepted`
};

}  // namespace hornbeamspool::policy
