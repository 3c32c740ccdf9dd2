#include "policy/budget_manager.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <limits>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

// While nothing of a budget is committed, a home's limit is at least prepaid /
// kInitialLimitDivisor: a few seconds of a day's spending.
constexpr std::int64_t kInitialLimitDivisor = 12;

// A gift of more than the needed tokens is at most the giver's available tokens
// / kOptionalGiftDivisor.
constexpr std::int64_t kOptionalGiftDivisor = 4;

// Gifts are in excess if they exceed kExcessGiftFactor * GiftTarget().
constexpr std::int64_t kExcessGiftFactor = 2;

// A VM asks for no gifts in advance if it expects to need less than a typical
// request / kMinDemandDivisor.
constexpr std::int64_t kMinDemandDivisor = 2;

// A home returns gifts above prepaid / kReturnThresholdDivisor to the store at
// once, smaller ones with the next write.
constexpr std::int64_t kReturnThresholdDivisor = 500;

// Limits allow for demand that grows by half during an outage.
constexpr double kDemandGrowthFactor = 1.5;

// A share is written again if the change of its limit exceeds the new limit's
// unspent tokens / kLimitDeadbandDivisor, if less than burst / kMinBurstDivisor
// can be reserved, or if its checkpoint is kMaxCheckpointAgeMs old.
constexpr std::int64_t kLimitDeadbandDivisor = 5;
constexpr std::int64_t kMinBurstDivisor = 2;
constexpr std::int64_t kMaxCheckpointAgeMs = 450;

// A fallback VM holds its share for kFallbackTime. The limit covers its demand
// for kFallbackDemandSeconds.
constexpr coordination::Duration kFallbackTime = std::chrono::seconds(1);
constexpr double kFallbackDemandSeconds = 1;

// A share that this VM no longer draws on is closed (its unspent tokens are
// returned) at once if these exceed prepaid / kSmallSlackDivisor. Otherwise it
// is closed after a random delay below kMaxCloseDelay, so that the VMs of a
// fleet don't write at the same time.
constexpr std::int64_t kSmallSlackDivisor = 200;
constexpr coordination::Duration kMaxCloseDelay = std::chrono::seconds(4);

// After a conflict a VM that is no home waits for a random delay below
// kConflictBackoff. That bound doubles with each further consecutive conflict,
// at most kMaxBackoffDoublings times.
constexpr coordination::Duration kConflictBackoff =
    std::chrono::milliseconds(100);
constexpr std::int64_t kMaxBackoffDoublings = 5;

// Minimum time between two reads of a budget whose remaining tokens other VMs
// hold.
constexpr coordination::Duration kRefreshInterval =
    std::chrono::milliseconds(250);

// The clocks of a process and of the store may drift apart by the elapsed time
// / kClockDriftDivisor, and the store's clock is read in whole milliseconds.
constexpr std::int64_t kClockDriftDivisor = 100;
constexpr std::int64_t kClockResolutionMs = 2;

// After a restore of the store, limits are not raised for kAssertTime: VMs
// learn of it within a long poll and a reconnect, and write their shares again.
// While another VM has not done so, they are not raised for kMaxAssertTime.
constexpr coordination::Duration kAssertTime = std::chrono::seconds(4);
constexpr coordination::Duration kMaxAssertTime = std::chrono::seconds(14);

// Number of distinct values of a random delay.
constexpr std::int64_t kJitterSteps = 1000;

}  // namespace

void BudgetManager::SetPrepaid(std::string_view organisation,
                               std::int64_t prepaid) {
  auto [found, added] = this->entries.try_emplace(std::string(organisation));
  found->second.prepaid = prepaid;
  if (added) found->second.rows.organisation = std::string(organisation);
}

BudgetManager::Entry* BudgetManager::Find(std::string_view organisation) {
  const auto found = this->entries.find(organisation);
  return found == this->entries.end() ? nullptr : &found->second;
}

const BudgetManager::Entry* BudgetManager::Find(
    std::string_view organisation) const {
  const auto found = this->entries.find(organisation);
  return found == this->entries.end() ? nullptr : &found->second;
}

bool BudgetManager::IsBusy(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  return entry != nullptr && entry->busy;
}

bool BudgetManager::ScheduleInheritedRead(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry != nullptr) entry->read_scheduled = true;
  return entry != nullptr;
}

void BudgetManager::OnStoreClock(std::int64_t store_ms,
                                 coordination::TimePoint asked,
                                 coordination::TimePoint now) {
  // At `asked` the store's clock was at most `store_ms`. When this process
  // started, it was lower by the age of the process at `asked`.
  const std::int64_t age_ms =
      coordination::Milliseconds(asked - this->start.started_at);
  this->started_ms = std::min(this->started_ms,
                              store_ms - age_ms + age_ms / kClockDriftDivisor);
  this->store_clock.Set(store_ms, now);
}

void BudgetManager::OnEra(std::uint64_t era, coordination::TimePoint now) {
  if (era <= this->era) return;
  const bool restored = this->era != 0;
  this->era = era;
  if (!restored) return;
  this->restored_at = now;
  for (auto& [organisation, entry] : this->entries) {
    entry.unasserted_elsewhere = true;
    entry.close_deferred = false;
    entry.rows_known = false;
    const bool holds = entry.held_limit || entry.rows.share.incarnation != 0 ||
                       entry.account.Committed() > 0 || !entry.in_doubt.empty();
    if (!holds) continue;
    // A limit that an earlier restore left to be written is still held.
    entry.held_limit =
        std::max(entry.held_limit.value_or(0), this->LimitOf(entry));
    this->ScheduleRead(entry, now);
  }
}

std::int64_t BudgetManager::MaxLimit(const Entry& entry,
                                     coordination::TimePoint now) const {
  constexpr std::int64_t kUnlimited = std::numeric_limits<std::int64_t>::max();
  if (this->restored_at == coordination::TimePoint{}) return kUnlimited;
  const coordination::Duration since = now - this->restored_at;
  const bool settled = since >= kMaxAssertTime ||
                       (since >= kAssertTime && !entry.unasserted_elsewhere);
  if (settled) return kUnlimited;
  return std::max(entry.held_limit.value_or(this->LimitOf(entry)),
                  entry.account.Committed());
}

std::int64_t BudgetManager::LimitOf(const Entry& entry) const {
  std::int64_t limit =
      this->OwnsStoredShare(entry) ? entry.rows.share.limit : 0;
  for (const BudgetShare& share : entry.in_doubt) {
    limit = std::min(limit, share.limit);
  }
  // A restored share may still have tokens that this VM returned and others
  // drew since the copy.
  return std::min(limit, entry.held_limit.value_or(limit));
}

std::int64_t BudgetManager::CapOf(const Entry& entry,
                                  coordination::TimePoint now) const {
  const std::int64_t store_ms = this->store_clock.At(now);
  std::int64_t cap =
      this->OwnsStoredShare(entry) ? entry.rows.share.CapAt(store_ms) : 0;
  for (const BudgetShare& share : entry.in_doubt) {
    cap = std::min(cap, share.CapAt(store_ms));
  }
  return std::min(cap, entry.held_limit.value_or(cap));
}

BudgetVerdict BudgetManager::Reserve(std::string_view organisation,
                                     std::int64_t amount,
                                     coordination::TimePoint now,
                                     BudgetSource& source) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return BudgetVerdict::kLimitTooLow;
  if (entry->gift_account.Reserve(amount, entry->gifts_received)) {
    source = BudgetSource::kGift;
    return BudgetVerdict::kReserved;
  }
  if (entry->account.Reserve(amount, this->CapOf(*entry, now))) {
    source = BudgetSource::kShare;
    return BudgetVerdict::kReserved;
  }
  return this->VerdictFor(organisation, amount, now);
}

BudgetVerdict BudgetManager::VerdictFor(std::string_view organisation,
                                        std::int64_t amount,
                                        coordination::TimePoint now) {
  Entry* found = this->Find(organisation);
  if (found == nullptr) return BudgetVerdict::kLimitTooLow;
  Entry& entry = *found;
  const std::int64_t committed = entry.account.Committed();
  if (this->CapOf(entry, now) - committed >= amount) {
    return BudgetVerdict::kLimitTooLow;
  }
  const std::int64_t own = this->LimitOf(entry) - committed;
  if (own >= amount) return BudgetVerdict::kRateLimited;
  if (!entry.rows_known) return BudgetVerdict::kLimitTooLow;
  const std::int64_t unclaimed = entry.prepaid - entry.rows.total.committed;
  if (unclaimed + own >= amount) return BudgetVerdict::kLimitTooLow;
  // Another VM may have returned tokens since the rows were read.
  entry.refresh_requested = true;
  return unclaimed + own + entry.held_elsewhere < amount
             ? BudgetVerdict::kExhausted
             : BudgetVerdict::kHeldElsewhere;
}

void BudgetManager::Settle(std::string_view organisation, std::int64_t amount,
                           std::int64_t used, BudgetSource source) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  (source == BudgetSource::kGift ? entry->gift_account : entry->account)
      .Settle(amount, used);
}

std::int64_t BudgetManager::Give(std::string_view organisation,
                                 std::int64_t needed, std::int64_t wanted,
                                 coordination::TimePoint now) {
  const std::int64_t available = this->AvailableShare(organisation, now);
  const std::int64_t given =
      std::max(needed, std::min(wanted, available / kOptionalGiftDivisor));
  if (given <= 0 || given > available) return 0;
  this->Find(organisation)->account.Spend(given);
  return given;
}

std::int64_t BudgetManager::AvailableShare(std::string_view organisation,
                                           coordination::TimePoint now) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  return std::max<std::int64_t>(
      0, this->CapOf(*entry, now) - entry->account.Committed());
}

std::int64_t BudgetManager::GiveAll(std::string_view organisation,
                                    coordination::TimePoint now) {
  const std::int64_t available = this->AvailableShare(organisation, now);
  if (available > 0) this->Find(organisation)->account.Spend(available);
  return available;
}

void BudgetManager::AddGift(std::string_view organisation,
                            std::int64_t amount) {
  if (Entry* entry = this->Find(organisation)) entry->gifts_received += amount;
}

// The gifts that this VM should have. A VM with few requests of an organisation
// asks for each of them when it arrives; others keep enough gifts to last until
// the next answer of the home.
std::int64_t BudgetManager::GiftTarget(const Entry& entry) const {
  const auto expected = static_cast<std::int64_t>(
      entry.gift_account.DemandPerSecond() * this->options.gift_seconds);
  const std::int64_t typical = entry.gift_account.TypicalRequest();
  return expected * kMinDemandDivisor < typical ? 0
                                                : std::max(expected, typical);
}

std::int64_t BudgetManager::WantedGift(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr || this->stopping) return 0;
  return std::max<std::int64_t>(
      0, this->GiftTarget(*entry) - entry->UnreservedGifts());
}

std::int64_t BudgetManager::ExcessGifts(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  const std::int64_t unreserved = entry->UnreservedGifts();
  const std::int64_t target = this->stopping ? 0 : this->GiftTarget(*entry);
  return unreserved <= target * kExcessGiftFactor ? 0 : unreserved - target;
}

std::int64_t BudgetManager::WithdrawExcessGifts(std::string_view organisation) {
  const std::int64_t excess = this->ExcessGifts(organisation);
  if (excess > 0) this->Find(organisation)->gifts_received -= excess;
  return excess;
}

void BudgetManager::StopActingAsHome() {
  for (auto& [organisation, entry] : this->entries) {
    entry.home_until = entry.fallback_until = {};
    entry.write_requested = true;
  }
}

std::int64_t BudgetManager::WithdrawUnreservedGifts(
    std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  const std::int64_t withdrawn =
      std::max<std::int64_t>(0, entry->UnreservedGifts());
  entry->gifts_received -= withdrawn;
  return withdrawn;
}

void BudgetManager::ActAsHome(std::string_view organisation,
                              coordination::TimePoint until) {
  if (Entry* entry = this->Find(organisation)) entry->home_until = until;
}

BudgetVerdict BudgetManager::DrawAsFallback(std::string_view organisation,
                                            std::int64_t amount,
                                            coordination::TimePoint now) {
  const BudgetVerdict verdict = this->VerdictFor(organisation, amount, now);
  const bool rate_limited = verdict == BudgetVerdict::kRateLimited;
  if (verdict != BudgetVerdict::kLimitTooLow && !rate_limited) return verdict;
  Entry* entry = this->Find(organisation);
  if (entry == nullptr || !this->reachable) {
    return rate_limited ? verdict : BudgetVerdict::kHeldElsewhere;
  }
  entry->fallback_until = now + kFallbackTime;
  this->AddShortfall(organisation, amount);
  return BudgetVerdict::kLimitTooLow;
}

void BudgetManager::AddShortfall(std::string_view organisation,
                                 std::int64_t amount) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->shortfall += amount;
  entry->write_requested = true;
}

std::int64_t BudgetManager::WantedLimit(const Entry& entry,
                                        coordination::TimePoint now) const {
  const BudgetAccount& account = entry.account;
  if (!this->MayHold(entry, now)) return account.Committed();
  if (now >= entry.home_until) {
    const auto expected = static_cast<std::int64_t>(account.DemandPerSecond() *
                                                    kFallbackDemandSeconds);
    return account.Committed() + std::max(expected, account.TypicalRequest());
  }
  const double outage_seconds =
      std::chrono::duration<double>(this->options.bridged_outage).count();
  const auto expected = static_cast<std::int64_t>(
      account.DemandPerSecond() * outage_seconds * kDemandGrowthFactor);
  // The demand is not known until a VM has drawn on the budget.
  const std::int64_t initial = entry.rows.total.committed == 0
                                   ? entry.prepaid / kInitialLimitDivisor
                                   : 0;
  return account.Committed() +
         std::max({expected, account.TypicalRequest() * 2, initial});
}

bool BudgetManager::IsWriteDue(const Entry& entry, std::int64_t next_limit,
                               coordination::TimePoint now) const {
  const std::int64_t limit = this->LimitOf(entry);
  const std::int64_t committed = entry.account.Committed();
  if (!entry.in_doubt.empty() || entry.held_limit) return true;
  // A predecessor's share is replaced at once, to free its unspent tokens.
  const bool inherited =
      !this->OwnsStoredShare(entry) && entry.rows.share.incarnation != 0;
  if (inherited) return true;
  const bool covers_shortfall = next_limit >= committed + entry.shortfall;
  if (entry.shortfall > 0 && covers_shortfall) return true;
  if (!this->MayHold(entry, now)) return next_limit != limit;
  if (std::abs(next_limit - limit) * kLimitDeadbandDivisor >
      next_limit - committed) {
    return true;
  }
  const BudgetShare& share = entry.rows.share;
  const std::int64_t available = this->CapOf(entry, now) - committed;
  if (available < share.burst / kMinBurstDivisor) {
    return share.limit > committed;
  }
  // The older the checkpoint, the more a successor must count as spent.
  const std::int64_t age_ms = this->store_clock.At(now) - share.checkpoint_ms;
  return share.per_second > 0 && age_ms >= kMaxCheckpointAgeMs;
}

std::int64_t BudgetManager::LeftOf(const Entry& entry,
                                   std::int64_t limit) const {
  return entry.prepaid - entry.rows.total.committed +
         std::max(limit, this->LimitOf(entry)) - entry.account.Committed();
}

BudgetRows BudgetManager::NextRows(const Entry& entry, std::int64_t limit,
                                   coordination::TimePoint now) const {
  const BudgetAccount& account = entry.account;
  const std::int64_t store_ms = this->store_clock.At(now);
  BudgetRows next = entry.rows;
  next.stranded = 0;
  next.share.incarnation = this->start.incarnation;
  next.share.limit = limit;
  next.share.spent = account.Spent();
  next.share.committed = account.Committed();
  next.share.checkpoint_ms = store_ms;
  const ShareRateInputs inputs{account.DemandPerSecond(),
                               this->LeftOf(entry, limit),
                               limit - account.Committed(),
                               account.TypicalRequest() * 2, entry.shortfall};
  SetShareRate(this->options.rate, inputs, next.share);
  next.share.era = this->era;

  const BudgetShare& before = entry.rows.share;
  if (this->OwnsStoredShare(entry)) {
    next.total.committed += limit - before.limit;
    next.total.known_spent += next.share.spent - before.spent;
    return next;
  }
  // The predecessor ended before this process started. What its rate limit did
  // not allow it to spend by then is returned.
  const std::int64_t end_ms = std::min(store_ms, this->started_ms);
  const std::int64_t drift =
      kClockResolutionMs +
      std::max<std::int64_t>(0, end_ms - before.checkpoint_ms) /
          kClockDriftDivisor;
  const std::int64_t max_spent = before.CapAt(end_ms + drift);
  next.stranded = max_spent - before.spent;
  next.total.committed += limit + max_spent - before.limit;
  next.total.known_spent += next.share.spent;
  return next;
}

// Gifts to return to the store, where they are safe if this process is killed.
// Only a home returns gifts to the store; other VMs send theirs to the home.
std::int64_t BudgetManager::ReturnableGifts(const Entry& entry,
                                            coordination::TimePoint now) const {
  if (now >= entry.home_until) return 0;
  return std::max<std::int64_t>(0, entry.UnreservedGifts());
}

void BudgetManager::SampleDemand(coordination::TimePoint now) {
  if (this->last_sample != coordination::TimePoint{}) {
    for (auto& [organisation, entry] : this->entries) {
      entry.account.SampleDemand(now - this->last_sample);
      entry.gift_account.SampleDemand(now - this->last_sample);
    }
  }
  this->last_sample = now;
}

// Rows are read by homes, by VMs whose requests wait for tokens, and by
// successors of processes that held a share.
bool BudgetManager::IsReadDue(const Entry& entry,
                              coordination::TimePoint now) const {
  if (entry.busy) return false;
  if (entry.rows_known) {
    return entry.refresh_requested && now >= entry.next_refresh;
  }
  if (now < entry.home_until) return true;
  if (entry.conflicts == 0 && entry.shortfall > 0) return true;
  if (!entry.read_scheduled) return false;
  return this->stopping || now >= entry.read_at.value_or(now);
}

// Whether the share is no longer drawn on and its unspent tokens are few, so
// that returning them may wait.
bool BudgetManager::MayDeferClose(const Entry& entry,
                                  coordination::TimePoint now) const {
  if (this->stopping || this->MayHold(entry, now) || entry.shortfall > 0) {
    return false;
  }
  const BudgetShare& share = entry.rows.share;
  const std::int64_t committed =
      this->OwnsStoredShare(entry) ? entry.account.Committed() : share.spent;
  const std::int64_t slack = share.limit - committed;
  return slack * kSmallSlackDivisor <= entry.prepaid;
}

// A pseudo-random delay below `max_delay`, different for each process,
// organisation and number of conflicts.
coordination::Duration BudgetManager::Jitter(
    const Entry& entry, coordination::Duration max_delay) const {
  const std::uint64_t seed =
      this->start.incarnation + static_cast<std::uint64_t>(entry.conflicts);
  const std::uint64_t hash =
      coordination::StableHash(entry.rows.organisation, seed);
  return max_delay * static_cast<std::int64_t>(hash % kJitterSteps) /
         kJitterSteps;
}

void BudgetManager::ScheduleRead(Entry& entry, coordination::TimePoint at) {
  entry.rows_known = false;
  entry.read_scheduled = true;
  entry.read_at = at;
}

std::vector<std::string> BudgetManager::PlanReads(coordination::TimePoint now,
                                                  std::size_t max_count) {
  std::vector<std::string> planned;
  for (auto& [organisation, entry] : this->entries) {
    if (planned.size() >= max_count) break;
    // The requests that this VM drew for as a fallback have ended.
    const bool was_fallback = entry.fallback_until != coordination::TimePoint{};
    if (was_fallback && !this->MayHold(entry, now)) {
      entry.fallback_until = {};
      entry.shortfall = 0;
    }
    if (!this->IsReadDue(entry, now)) continue;
    entry.busy = true;
    entry.refresh_requested = false;
    entry.next_refresh = now + kRefreshInterval;
    planned.push_back(organisation);
  }
  return planned;
}

// Prepares a write of this entry if one is due. Returns whether it is.
bool BudgetManager::PlanWrite(Entry& entry, coordination::TimePoint now) {
  if (entry.busy || !entry.rows_known) return false;
  const bool early = now < entry.next_write && !entry.write_requested;
  if (early && !this->stopping) return false;
  if (!entry.close_deferred && this->MayDeferClose(entry, now)) {
    entry.close_deferred = true;
    this->ScheduleRead(entry, now + this->Jitter(entry, kMaxCloseDelay));
    return false;
  }
  entry.next_write = now + this->options.write_interval;
  entry.write_requested = false;
  const std::int64_t committed = entry.account.Committed();
  BudgetTotal total = entry.rows.total;
  std::int64_t current_limit = this->LimitOf(entry);
  if (this->OwnsStoredShare(entry)) {
    current_limit = entry.rows.share.limit;
  } else if (entry.rows.share.incarnation != 0) {
    // This write also returns what the predecessor did not spend.
    total.committed = this->NextRows(entry, 0, now).total.committed;
  }
  const LimitRequest request{entry.prepaid, current_limit, committed,
                             committed + entry.shortfall,
                             this->WantedLimit(entry, now)};
  const std::int64_t max_limit = this->MaxLimit(entry, now);
  const std::int64_t limit = std::min(NextLimit(request, total), max_limit);
  // Another VM may have written its share again since the rows were read.
  if (limit == max_limit && entry.unasserted_elsewhere) {
    entry.refresh_requested = true;
  }
  const std::int64_t returning = this->ReturnableGifts(entry, now);
  const bool due = this->IsWriteDue(entry, limit, now) ||
                   returning > entry.prepaid / kReturnThresholdDivisor;
  if (due) {
    entry.pending = this->NextRows(entry, limit, now);
    // Returned gifts leave the account before the write is sent: if its answer
    // is lost, they are stranded and not spent twice.
    entry.gifts_received -= returning;
    entry.returning = returning;
    entry.pending.total.committed -= returning;
    entry.in_doubt.push_back(entry.pending.share);
    entry.busy = true;
  }
  entry.shortfall = 0;
  return due;
}

std::vector<BudgetRows> BudgetManager::PlanWrites(coordination::TimePoint now,
                                                  std::size_t max_count) {
  this->SampleDemand(now);
  std::vector<BudgetRows> planned;
  for (auto& [organisation, entry] : this->entries) {
    if (planned.size() >= max_count) break;
    if (this->PlanWrite(entry, now)) planned.push_back(entry.pending);
  }
  return planned;
}

void BudgetManager::OnWritten(std::string_view organisation,
                              std::uint64_t version) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->busy = false;
  entry->rows = std::move(entry->pending);
  entry->rows.total_version = version;
  entry->rows.share_version = version;
  // Earlier writes of unknown outcome can no longer be carried out: the
  // versions that they are conditional on have changed.
  entry->in_doubt.clear();
  entry->returning = 0;
  entry->conflicts = 0;
  entry->close_deferred = false;
  entry->held_limit.reset();
}

void BudgetManager::OnNotWritten(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->busy = false;
  entry->in_doubt.pop_back();
  entry->gifts_received += std::exchange(entry->returning, 0);
  entry->write_requested = true;
}

void BudgetManager::OnConflict(const BudgetRows& rows,
                               coordination::TimePoint now) {
  this->OnNotWritten(rows.organisation);
  this->OnRead(rows);
  Entry* entry = this->Find(rows.organisation);
  if (entry == nullptr || now < entry->home_until) return;
  const std::int64_t doublings =
      std::min(entry->conflicts++, kMaxBackoffDoublings);
  const coordination::Duration max_delay = kConflictBackoff * (1 << doublings);
  this->ScheduleRead(*entry, now + this->Jitter(*entry, max_delay));
}

void BudgetManager::OnWriteUnknown(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->busy = false;
  // The write may have returned these gifts to the store: don't use them again.
  entry->returning = 0;
  this->ScheduleRead(*entry, {});
}

void BudgetManager::OnReadFailed(std::string_view organisation) {
  if (Entry* entry = this->Find(organisation)) entry->busy = false;
}

void BudgetManager::OnRead(const BudgetRows& rows) {
  Entry* entry = this->Find(rows.organisation);
  if (entry == nullptr) return;
  entry->rows = rows;
  if (rows.held_elsewhere) {
    entry->held_elsewhere = *rows.held_elsewhere;
    entry->unasserted_elsewhere = rows.unasserted_elsewhere;
  }
  entry->busy = false;
  entry->rows_known = true;
  entry->read_scheduled = false;
  entry->read_at.reset();
  entry->write_requested = true;
  if (this->OwnsStoredShare(*entry) || rows.share.incarnation == 0) return;
  entry->account.InheritDemand(static_cast<double>(rows.share.per_second) /
                               this->options.rate.rate_factor);
}

std::vector<std::string> BudgetManager::Organisations() const {
  std::vector<std::string> organisations;
  for (const auto& [organisation, entry] : this->entries) {
    organisations.push_back(organisation);
  }
  return organisations;
}

bool BudgetManager::AllReturned() const {
  for (const auto& [organisation, entry] : this->entries) {
    if (entry.busy || !entry.in_doubt.empty()) return false;
    if (this->LimitOf(entry) > entry.account.Committed()) return false;
  }
  return true;
}

std::vector<BudgetStats> BudgetManager::AllStats() const {
  std::vector<BudgetStats> stats;
  for (const auto& [organisation, entry] : this->entries) {
    stats.push_back({organisation, entry.prepaid, this->LimitOf(entry),
                     entry.account.Spent(), entry.account.Reserved(),
                     entry.UnreservedGifts(), entry.gift_account.Reserved()});
  }
  return stats;
}

BudgetFigures BudgetManager::Figures(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr) return {};
  return {entry->prepaid,
          this->LimitOf(*entry) - entry->account.Committed(),
          entry->UnreservedGifts(),
          entry->rows.total.committed,
          entry->rows.total.known_spent,
          entry->held_elsewhere,
          entry->rows_known};
}

}  // namespace hornbeamspool::policy
