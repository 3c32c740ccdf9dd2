// Settlement of ended requests: bills and recorded answers are written in
// batches, one transaction at a time. While one is outstanding the next fills.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "coordination/time.h"
#include "policy/table_messages.h"

namespace hornbeamspool::policy {

// A settlement that needs no further write.
struct SettledEntry {
  Settlement settlement;
  bool duplicate = false;  // another node had billed the request
};

class SettlementQueue {
 public:
  // Queues a settlement and gives it its sequence number.
  void Add(Settlement settlement);

  // The next batch, when none is outstanding and something is due.
  std::vector<Settlement> TakeBatch(coordination::TimePoint now);

  // Ends the outstanding batch. Returns the settlements that left the queue
  // for good: all of them, or those that had been written before.
  std::vector<SettledEntry> OnWritten(const BatchWritten& written,
                                      coordination::TimePoint now);

  std::size_t Backlog() const {
    return this->queue.size() + this->outstanding.size();
  }
  bool Full() const { return this->Backlog() >= kMaxBacklog; }

 private:
  // Each takes up to three rows of a transaction of at most 50.
  static constexpr std::size_t kMaxBatch = 16;
  // An outage of an hour at the size aimed at, with some room.
  static constexpr std::size_t kMaxBacklog = 60'000;
  static constexpr coordination::Duration kRetryAfter =
      std::chrono::milliseconds(250);

  std::deque<Settlement> queue;
  std::vector<Settlement> outstanding;
  std::uint64_t next_sequence = 1;
  coordination::TimePoint not_before{};
};

}  // namespace hornbeamspool::policy
