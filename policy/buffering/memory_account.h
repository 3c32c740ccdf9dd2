// Decides which connections of a process may hold how much memory for bytes of
// callers, and which are given up when memory runs out.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct MemoryLimits {
  std::int64_t bytes = std::int64_t{100} << 20U;  // of all holders
  // The part of `bytes` that only holders of at most `small_bytes` may use, so
  // that large bodies don't keep small requests out.
  std::int64_t reserved_for_small = std::int64_t{10} << 20U;
  std::int64_t small_bytes = 64 * 1024;
  // Time that a holder waits for memory, in all, before it may be given up.
  coordination::Duration max_wait = std::chrono::seconds(2);
  // A holder that has made no progress for this long may be given up.
  coordination::Duration stall_timeout = std::chrono::seconds(1);
};

// Limits for a process that may use `memory_bytes` in all, `client_bytes` of
// them for callers; 0: a part that leaves room for the rest of the process.
MemoryLimits MemoryLimitsFor(std::int64_t memory_bytes,
                             std::int64_t client_bytes = 0);

// The largest body that can be received when nothing else is held.
std::int64_t MaxBodyBytes(const MemoryLimits& limits);

class MemoryAccount {
 public:
  using Id = std::uint64_t;

  explicit MemoryAccount(const MemoryLimits& limits) : limits(limits) {}

  // Adds a holder that holds nothing yet.
  Id Add(coordination::TimePoint now);
  // Releases what the holder has, and cancels its wait.
  void Remove(Id id);

  // Sets what the holder has; false, without effect, if there is no room. Never
  // fails to reduce it. A growth that isn't small fails while others wait.
  bool TryResize(Id id, std::int64_t bytes);
  // The same for a part of an answer: it comes before all requests, because
  // its request has run.
  bool TryResizeForAnswer(Id id, std::int64_t bytes);
  // Makes the holder wait until it can have `bytes`.
  void Wait(Id id, std::int64_t bytes, coordination::TimePoint now);
  void CancelWait(Id id);
  // Returns the holders whose wait has ended since the last call. They have the
  // memory that they waited for.
  std::vector<Id> TakeGranted();
  const std::list<Id>& Waiting() const { return this->waiting; }

  // Counts `bytes` that the holder's connection has received or sent.
  void OnProgress(Id id, std::int64_t bytes, coordination::TimePoint now);
  // Whether the holder may be given up. Restarts its time without progress.
  void SetMayGiveUp(Id id, bool may_give_up, coordination::TimePoint now);

  // Chooses holders to give up if the first waiting one can't have its memory:
  // those that made no progress, and those that waited too long, the one with
  // the oldest progress first. A part of them at a time, so that the others may
  // complete. The caller removes them.
  std::vector<Id> ChooseToGiveUp(coordination::TimePoint now) const;

  bool HasWaiting() const { return !this->waiting.empty(); }
  std::int64_t Reserved() const { return this->reserved; }

 private:
  struct Holder {
    std::int64_t bytes = 0;
    std::int64_t wanted = 0;          // while it waits, else 0
    std::int64_t progress_bytes = 0;  // since `progress_at`
    coordination::TimePoint progress_at{};
    coordination::TimePoint wait_begin{};
    coordination::Duration waited{};  // before, since it was small
    bool may_give_up = true;
  };

  std::int64_t Room(std::int64_t wanted) const;
  void SetBytes(Holder& holder, std::int64_t bytes);
  bool MayGiveUp(const Holder& holder, coordination::TimePoint now) const;
  void GrantWaiting();

  MemoryLimits limits;
  std::map<Id, Holder> holders;
  std::list<Id> waiting;  // in the order of their arrival
  std::vector<Id> granted;
  std::int64_t reserved = 0;
  Id last_id = 0;
};

}  // namespace hornbeamspool::policy
