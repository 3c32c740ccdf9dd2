#include "policy/buffering/memory_account.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hornbeamspool::policy {
namespace {

// The rest of a process's memory is for its code, its tables, the buffers of
// sockets' reads and the allocator's waste, which is up to a quarter of what is
// allocated.
constexpr std::int64_t kMemoryNumerator = 7;
constexpr std::int64_t kMemoryDenominator = 20;

constexpr std::int64_t kSmallDivisor = 8;

// Fewer bytes within the stall timeout are no progress: a client that sends one
// byte a second would otherwise keep its memory longest.
constexpr std::int64_t kMinProgressBytes = 4096;

// At least this part of the memory is freed at once. With less, many bodies of
// which each waits for a little more would all stay.
constexpr std::int64_t kBatchDivisor = 8;

// A holder with less is not worth giving up.
constexpr std::int64_t kMinGivenUpBytes = 1024;

}  // namespace

MemoryLimits MemoryLimitsFor(std::int64_t memory_bytes,
                             std::int64_t client_bytes) {
  MemoryLimits limits;
  limits.bytes = client_bytes > 0
                     ? client_bytes
                     : memory_bytes / kMemoryDenominator * kMemoryNumerator;
  limits.reserved_for_small = limits.bytes / kSmallDivisor;
  return limits;
}

// A body that grows is held twice for a moment.
std::int64_t MaxBodyBytes(const MemoryLimits& limits) {
  return (limits.bytes - limits.reserved_for_small) / 2;
}

MemoryAccount::Id MemoryAccount::Add(coordination::TimePoint now) {
  Holder holder;
  holder.progress_at = now;
  this->holders.emplace(++this->last_id, holder);
  return this->last_id;
}

void MemoryAccount::Remove(Id id) {
  const auto found = this->holders.find(id);
  if (found == this->holders.end()) return;
  this->reserved -= found->second.bytes;
  if (found->second.wanted > 0) this->waiting.remove(id);
  std::erase(this->granted, id);
  this->holders.erase(found);
  this->GrantWaiting();
}

// Bytes that are left for a holder that would hold `wanted`.
std::int64_t MemoryAccount::Room(std::int64_t wanted) const {
  const bool small = wanted <= this->limits.small_bytes;
  return this->limits.bytes - this->reserved -
         (small ? 0 : this->limits.reserved_for_small);
}

bool MemoryAccount::TryResize(Id id, std::int64_t bytes) {
  Holder& holder = this->holders.at(id);
  const std::int64_t growth = bytes - holder.bytes;
  if (growth > 0) {
    const bool small = bytes <= this->limits.small_bytes;
    if (growth > this->Room(bytes)) return false;
    if (!small && !this->waiting.empty()) return false;
  }
  this->SetBytes(holder, bytes);
  return true;
}

bool MemoryAccount::TryResizeForAnswer(Id id, std::int64_t bytes) {
  Holder& holder = this->holders.at(id);
  if (this->reserved + bytes - holder.bytes > this->limits.bytes) return false;
  this->SetBytes(holder, bytes);
  return true;
}

void MemoryAccount::SetBytes(Holder& holder, std::int64_t bytes) {
  const std::int64_t growth = bytes - holder.bytes;
  holder.bytes = bytes;
  if (bytes <= this->limits.small_bytes) holder.waited = {};
  this->reserved += growth;
  if (growth < 0) this->GrantWaiting();
}

void MemoryAccount::Wait(Id id, std::int64_t bytes,
                         coordination::TimePoint now) {
  Holder& holder = this->holders.at(id);
  holder.wanted = bytes;
  holder.wait_begin = now;
  this->waiting.push_back(id);
  this->GrantWaiting();
}

void MemoryAccount::CancelWait(Id id) {
  Holder& holder = this->holders.at(id);
  if (std::exchange(holder.wanted, 0) == 0) return;
  this->waiting.remove(id);
  this->GrantWaiting();
}

// In the order of arrival, except that small holders pass large ones.
void MemoryAccount::GrantWaiting() {
  bool large_waits = false;
  for (auto each = this->waiting.begin(); each != this->waiting.end();) {
    Holder& holder = this->holders.at(*each);
    const bool small = holder.wanted <= this->limits.small_bytes;
    const std::int64_t growth = holder.wanted - holder.bytes;
    const bool fits =
        (small || !large_waits) && growth <= this->Room(holder.wanted);
    if (!fits) {
      large_waits = large_waits || !small;
      ++each;
      continue;
    }
    this->reserved += growth;
    holder.bytes = std::exchange(holder.wanted, 0);
    this->granted.push_back(*each);
    each = this->waiting.erase(each);
  }
}

std::vector<MemoryAccount::Id> MemoryAccount::TakeGranted() {
  return std::exchange(this->granted, {});
}

void MemoryAccount::OnProgress(Id id, std::int64_t bytes,
                               coordination::TimePoint now) {
  Holder& holder = this->holders.at(id);
  holder.progress_bytes += bytes;
  if (holder.progress_bytes < kMinProgressBytes) return;
  holder.progress_bytes = 0;
  holder.progress_at = now;
}

void MemoryAccount::SetMayGiveUp(Id id, bool may_give_up,
                                 coordination::TimePoint now) {
  Holder& holder = this->holders.at(id);
  holder.may_give_up = may_give_up;
  holder.progress_bytes = 0;
  holder.progress_at = now;
  if (holder.wait_begin == coordination::TimePoint{}) return;
  holder.waited += now - holder.wait_begin;
  holder.wait_begin = {};
}

bool MemoryAccount::MayGiveUp(const Holder& holder,
                              coordination::TimePoint now) const {
  if (!holder.may_give_up) return false;
  if (holder.wanted > 0) {
    return now - holder.wait_begin + holder.waited >= this->limits.max_wait;
  }
  return holder.bytes >= kMinGivenUpBytes &&
         now - holder.progress_at >= this->limits.stall_timeout;
}

std::vector<MemoryAccount::Id> MemoryAccount::ChooseToGiveUp(
    coordination::TimePoint now) const {
  if (this->waiting.empty()) return {};
  std::vector<std::pair<coordination::TimePoint, Id>> candidates;
  for (const auto& [id, holder] : this->holders) {
    if (!this->MayGiveUp(holder, now)) continue;
    candidates.emplace_back(holder.progress_at, id);
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<Id> chosen;
  std::set<Id> given_up;
  std::int64_t freed = 0;
  auto first = this->waiting.begin();
  for (const auto& [progress_at, id] : candidates) {
    while (first != this->waiting.end() && given_up.contains(*first)) ++first;
    if (first == this->waiting.end()) break;
    const Holder& waiter = this->holders.at(*first);
    const std::int64_t growth = waiter.wanted - waiter.bytes;
    const bool fits = growth <= this->Room(waiter.wanted) + freed;
    if (fits && freed >= this->limits.bytes / kBatchDivisor) break;
    freed += this->holders.at(id).bytes;
    given_up.insert(id);
    chosen.push_back(id);
  }
  return chosen;
}

}  // namespace hornbeamspool::policy
