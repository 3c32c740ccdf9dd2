// A queue of the settlements of ended requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "coordination/time.h"
#include "policy/table_messages.h"

namespace hornbeamspool::policy {

// A settlement that is in the store.
struct SettledEntry {
  Settlement settlement;
  bool duplicate = false;  // another node had already billed the request
};

// Queues settlements (bills and recorded answers) and groups them into batches,
// each written in one transaction. At most one batch is outstanding;
// settlements that arrive meanwhile go into the next.
class SettlementQueue {
 public:
  // Queues a settlement and assigns its sequence number.
  void Add(Settlement settlement);

  // Returns the next batch. Empty while a batch is outstanding, while a retry
  // is delayed, and when the queue is empty.
  std::vector<Settlement> TakeBatch(coordination::TimePoint now);

  // Ends the outstanding batch. Returns its settlements that are in the store:
  // all of them after a success, otherwise those that an earlier attempt or
  // another node had written. The rest are queued again.
  std::vector<SettledEntry> OnWritten(const BatchWritten& written,
                                      coordination::TimePoint now);

  // Settlements that are not known to be in the store.
  std::size_t Backlog() const {
    return this->queue.size() + this->outstanding.size();
  }
  bool Full() const { return this->Backlog() >= kMaxBacklog; }

 private:
  // The store allows 50 rows in a transaction; a settlement takes up to three.
  static constexpr std::size_t kMaxBatch = 16;
  // Enough for an outage of one hour at the intended load, with some reserve.
  static constexpr std::size_t kMaxBacklog = 60'000;
  static constexpr coordination::Duration kRetryDelay =
      std::chrono::milliseconds(250);

  std::deque<Settlement> queue;
  std::vector<Settlement> outstanding;
  std::uint64_t next_sequence = 1;
  coordination::TimePoint retry_at{};  // no batch before this
};

}  // namespace hornbeamspool::policy
