#include "policy/budget_manager.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

// The first to draw on a budget takes this part of it: a few seconds of a day's
// spending.
constexpr std::int64_t kFirstPart = 12;

// A wish that no request waits for takes one part in this many of what the
// giver has.
constexpr std::int64_t kGiftPart = 4;

// Gifts of more than this many times the need go back.
constexpr std::int64_t kIdleFactor = 2;

// A demand under one usual request in this many gifts counts as few.
constexpr std::int64_t kFewRequests = 2;

// Gifts over one part of a budget in this many are returned at once.
constexpr std::int64_t kReturnPart = 500;

// Demand may grow by half during an outage.
constexpr double kDemandReserve = 1.5;

// A share is written again when its limit is off by one part in this many, this
// part of its burst has been used, or its checkpoint is this old.
constexpr std::int64_t kDeadband = 5;
constexpr std::int64_t kBurstPart = 2;
constexpr std::int64_t kOldCheckpointMs = 450;

// A VM that stood in for a home holds its share for this long, for the demand
// of this time.
constexpr coordination::Duration kStandInTime = std::chrono::seconds(1);
constexpr double kStandInSeconds = 1;

// Shares that nobody draws on any more are closed at once; those that hold one
// part of the budget in this many or less within this time, each VM at another
// moment.
constexpr std::int64_t kSmallSlackPart = 200;
constexpr coordination::Duration kCloseSpread = std::chrono::seconds(4);

// After a conflict a VM that is no home waits for a part of this by chance,
// twice as long after each further one, up to so many doublings.
constexpr coordination::Duration kConflictPause =
    std::chrono::milliseconds(100);
constexpr std::int64_t kMostDoublings = 5;

// How often a budget whose rest other VMs hold is looked at again.
constexpr coordination::Duration kRefreshInterval =
    std::chrono::milliseconds(250);

// The clocks of a process and of the store may drift by one part in this many,
// and a successor reads the store's clock in whole milliseconds.
constexpr std::int64_t kDriftPart = 100;
constexpr std::int64_t kClockStepMs = 2;

// Moments that a spread tells apart.
constexpr std::int64_t kSpreadSteps = 1000;

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

bool BudgetManager::NotePredecessor(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry != nullptr) entry->inherited = true;
  return entry != nullptr;
}

void BudgetManager::OnStoreClock(std::int64_t store_ms,
                                 coordination::TimePoint asked,
                                 coordination::TimePoint now) {
  // When the answer was asked for, the store's clock stood at `store_ms` at
  // most; when this process began, lower by its age.
  const std::int64_t age_ms =
      coordination::Milliseconds(asked - this->start.started_at);
  this->began_ms =
      std::min(this->began_ms, store_ms - age_ms + age_ms / kDriftPart);
  this->store_clock.Set(store_ms, now);
}

std::int64_t BudgetManager::LimitOf(const Entry& entry) const {
  std::int64_t limit = this->IsMine(entry) ? entry.rows.share.limit : 0;
  for (const BudgetShare& share : entry.in_doubt) {
    limit = std::min(limit, share.limit);
  }
  return limit;
}

std::int64_t BudgetManager::BoundOf(const Entry& entry,
                                    coordination::TimePoint now) const {
  const std::int64_t store_ms = this->store_clock.At(now);
  std::int64_t bound =
      this->IsMine(entry) ? entry.rows.share.CapAt(store_ms) : 0;
  for (const BudgetShare& share : entry.in_doubt) {
    bound = std::min(bound, share.CapAt(store_ms));
  }
  return bound;
}

BudgetVerdict BudgetManager::Reserve(std::string_view organisation,
                                     std::int64_t amount,
                                     coordination::TimePoint now,
                                     BudgetSource& source) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return BudgetVerdict::kLimitTooLow;
  if (entry->gifts.Reserve(amount, entry->received)) {
    source = BudgetSource::kGift;
    return BudgetVerdict::kReserved;
  }
  if (entry->account.Reserve(amount, this->BoundOf(*entry, now))) {
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
  if (this->BoundOf(entry, now) - committed >= amount) {
    return BudgetVerdict::kLimitTooLow;
  }
  const std::int64_t own = this->LimitOf(entry) - committed;
  if (own >= amount) return BudgetVerdict::kRateLimited;
  if (!entry.read) return BudgetVerdict::kLimitTooLow;
  const std::int64_t unclaimed = entry.prepaid - entry.rows.total.committed;
  if (unclaimed + own >= amount) return BudgetVerdict::kLimitTooLow;
  // Another VM may have handed back since the rows were read.
  entry.refresh = true;
  return unclaimed + own + entry.held_elsewhere < amount
             ? BudgetVerdict::kExhausted
             : BudgetVerdict::kHeldElsewhere;
}

void BudgetManager::Settle(std::string_view organisation, std::int64_t amount,
                           std::int64_t used, BudgetSource source) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  (source == BudgetSource::kGift ? entry->gifts : entry->account)
      .Settle(amount, used);
}

std::int64_t BudgetManager::Give(std::string_view organisation,
                                 std::int64_t needed, std::int64_t wanted,
                                 coordination::TimePoint now) {
  const std::int64_t room = this->AvailableShare(organisation, now);
  const std::int64_t given =
      std::max(needed, std::min(wanted, room / kGiftPart));
  if (given <= 0 || given > room) return 0;
  this->Find(organisation)->account.Spend(given);
  return given;
}

std::int64_t BudgetManager::AvailableShare(std::string_view organisation,
                                           coordination::TimePoint now) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  return std::max<std::int64_t>(
      0, this->BoundOf(*entry, now) - entry->account.Committed());
}

std::int64_t BudgetManager::GiveAll(std::string_view organisation,
                                    coordination::TimePoint now) {
  const std::int64_t room = this->AvailableShare(organisation, now);
  if (room > 0) this->Find(organisation)->account.Spend(room);
  return room;
}

void BudgetManager::AddGift(std::string_view organisation,
                            std::int64_t amount) {
  if (Entry* entry = this->Find(organisation)) entry->received += amount;
}

// A VM with few requests of an organisation asks for each of them; others keep
// what they need until the next answer of the home.
std::int64_t BudgetManager::GiftTarget(const Entry& entry) const {
  const auto expected = static_cast<std::int64_t>(
      entry.gifts.DemandPerSecond() * this->options.gift_seconds);
  const std::int64_t typical = entry.gifts.TypicalRequest();
  return expected * kFewRequests < typical ? 0 : std::max(expected, typical);
}

std::int64_t BudgetManager::WantedGift(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr || this->stopping) return 0;
  return std::max<std::int64_t>(0,
                                this->GiftTarget(*entry) - entry->FreeGift());
}

std::int64_t BudgetManager::ExcessGifts(std::string_view organisation) const {
  const Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  const std::int64_t free = entry->FreeGift();
  const std::int64_t target = this->stopping ? 0 : this->GiftTarget(*entry);
  return free <= target * kIdleFactor ? 0 : free - target;
}

std::int64_t BudgetManager::WithdrawExcessGifts(std::string_view organisation) {
  const std::int64_t idle = this->ExcessGifts(organisation);
  if (idle > 0) this->Find(organisation)->received -= idle;
  return idle;
}

void BudgetManager::StopActingAsHome() {
  for (auto& [organisation, entry] : this->entries) {
    entry.home_until = entry.stand_in_until = {};
    entry.urgent = true;
  }
}

std::int64_t BudgetManager::WithdrawUnreservedGifts(
    std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return 0;
  const std::int64_t free = std::max<std::int64_t>(0, entry->FreeGift());
  entry->received -= free;
  return free;
}

void BudgetManager::ActAsHome(std::string_view organisation,
                              coordination::TimePoint until) {
  if (Entry* entry = this->Find(organisation)) entry->home_until = until;
}

BudgetVerdict BudgetManager::DrawAsFallback(std::string_view organisation,
                                            std::int64_t amount,
                                            coordination::TimePoint now) {
  const BudgetVerdict verdict = this->VerdictFor(organisation, amount, now);
  const bool paced = verdict == BudgetVerdict::kRateLimited;
  if (verdict != BudgetVerdict::kLimitTooLow && !paced) return verdict;
  Entry* entry = this->Find(organisation);
  if (entry == nullptr || !this->reachable) {
    return paced ? verdict : BudgetVerdict::kHeldElsewhere;
  }
  entry->stand_in_until = now + kStandInTime;
  this->NoteShortfall(organisation, amount);
  return BudgetVerdict::kLimitTooLow;
}

void BudgetManager::NoteShortfall(std::string_view organisation,
                                  std::int64_t amount) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->lacking += amount;
  entry->urgent = true;
}

std::int64_t BudgetManager::WantedLimit(const Entry& entry,
                                        coordination::TimePoint now) const {
  const BudgetAccount& account = entry.account;
  if (!this->Holds(entry, now)) return account.Committed();
  if (now >= entry.home_until) {
    const auto soon =
        static_cast<std::int64_t>(account.DemandPerSecond() * kStandInSeconds);
    return account.Committed() + std::max(soon, account.TypicalRequest());
  }
  const double outage =
      std::chrono::duration<double>(this->options.bridged_outage).count();
  const auto expected = static_cast<std::int64_t>(account.DemandPerSecond() *
                                                  outage * kDemandReserve);
  // Nothing is known of the demand until somebody has drawn.
  const std::int64_t first =
      entry.rows.total.committed == 0 ? entry.prepaid / kFirstPart : 0;
  return account.Committed() +
         std::max({expected, account.TypicalRequest() * 2, first});
}

bool BudgetManager::IsDue(const Entry& entry, std::int64_t next_limit,
                          coordination::TimePoint now) const {
  const std::int64_t held = this->LimitOf(entry);
  const std::int64_t committed = entry.account.Committed();
  if (!entry.in_doubt.empty()) return true;
  // A predecessor's share is closed at once: what it left is free then.
  if (!this->IsMine(entry) && entry.rows.share.incarnation != 0) return true;
  if (entry.lacking > 0 && next_limit >= committed + entry.lacking) return true;
  if (!this->Holds(entry, now)) return next_limit != held;
  if (std::abs(next_limit - held) * kDeadband > next_limit - committed) {
    return true;
  }
  const BudgetShare& share = entry.rows.share;
  const std::int64_t room = this->BoundOf(entry, now) - committed;
  if (room < share.burst / kBurstPart) return share.limit > committed;
  // The older the checkpoint, the more a successor must take as spent.
  const std::int64_t since = this->store_clock.At(now) - share.checkpoint_ms;
  return share.per_second > 0 && since >= kOldCheckpointMs;
}

// The part of the usual pace that a share keeps to while its checkpoint is
// young.
double BudgetManager::YoungPart(const Entry& entry, std::int64_t limit) const {
  const ShareRateOptions& rate = this->options.rate;
  const double young_seconds =
      std::chrono::duration<double>(rate.initial_rate_time).count();
  const double stranded =
      entry.account.DemandPerSecond() *
      (rate.burst_seconds + rate.rate_factor * young_seconds);
  const std::int64_t left = entry.prepaid - entry.rows.total.committed +
                            std::max(limit, this->LimitOf(entry)) -
                            entry.account.Committed();
  const double allowed = static_cast<double>(left) * rate.max_stranded_fraction;
  return stranded <= allowed
             ? 1
             : std::max(rate.min_initial_rate_fraction, allowed / stranded);
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
  // Until demand is known, requests may take the whole limit at once.
  const std::int64_t hold = limit - account.Committed();
  const ShareRateOptions& rate = this->options.rate;
  const double demand = account.DemandPerSecond();
  const double young = this->YoungPart(entry, limit);
  const auto of_demand =
      static_cast<std::int64_t>(demand * rate.burst_seconds * young);
  next.share.burst =
      demand == 0
          ? hold
          : std::max(of_demand, account.TypicalRequest() * 2) + entry.lacking;
  next.share.per_second = static_cast<std::int64_t>(demand * rate.rate_factor);
  next.share.initial_per_second =
      static_cast<std::int64_t>(demand * rate.rate_factor * young);
  next.share.initial_rate_ms =
      coordination::Milliseconds(rate.initial_rate_time);

  const BudgetShare& before = entry.rows.share;
  if (this->IsMine(entry)) {
    next.total.committed += limit - before.limit;
    next.total.known_spent += next.share.spent - before.spent;
    return next;
  }
  // The predecessor ended before this process began; what it had not spent by
  // its pace until then goes back.
  const std::int64_t end_ms = std::min(store_ms, this->began_ms);
  const std::int64_t drift =
      kClockStepMs +
      std::max<std::int64_t>(0, end_ms - before.checkpoint_ms) / kDriftPart;
  const std::int64_t bound = before.CapAt(end_ms + drift);
  next.stranded = bound - before.spent;
  next.total.committed += limit + bound - before.limit;
  next.total.known_spent += next.share.spent;
  return next;
}

// Gifts that a home holds go back to the store, where they outlast this
// process; small ones wait for the next write.
std::int64_t BudgetManager::ReturnableGift(const Entry& entry,
                                           coordination::TimePoint now) const {
  if (now >= entry.home_until) return 0;
  return std::max<std::int64_t>(0, entry.FreeGift());
}

void BudgetManager::SampleDemand(coordination::TimePoint now) {
  if (this->last_sample != coordination::TimePoint{}) {
    for (auto& [organisation, entry] : this->entries) {
      entry.account.SampleDemand(now - this->last_sample);
      entry.gifts.SampleDemand(now - this->last_sample);
    }
  }
  this->last_sample = now;
}

// Rows are read by whoever keeps or needs the tokens: homes, VMs whose requests
// wait, and successors.
bool BudgetManager::WantsRead(const Entry& entry,
                              coordination::TimePoint now) const {
  if (entry.busy) return false;
  if (entry.read) return entry.refresh && now >= entry.next_refresh;
  if (now < entry.home_until) return true;
  if (entry.conflicts == 0 && entry.lacking > 0) return true;
  if (!entry.inherited) return false;
  return this->stopping || now >= entry.read_at.value_or(now);
}

// A share that nobody draws on any more and that holds little of the budget.
bool BudgetManager::MayCloseLater(const Entry& entry,
                                  coordination::TimePoint now) const {
  if (this->stopping || this->Holds(entry, now) || entry.lacking > 0) {
    return false;
  }
  const BudgetShare& share = entry.rows.share;
  const std::int64_t committed =
      this->IsMine(entry) ? entry.account.Committed() : share.spent;
  const std::int64_t slack = share.limit - committed;
  return slack * kSmallSlackPart <= entry.prepaid;
}

coordination::Duration BudgetManager::Spread(
    const Entry& entry, coordination::Duration longest) const {
  const std::uint64_t seed =
      this->start.incarnation + static_cast<std::uint64_t>(entry.conflicts);
  const std::uint64_t hash =
      coordination::StableHash(entry.rows.organisation, seed);
  return longest * static_cast<std::int64_t>(hash % kSpreadSteps) /
         kSpreadSteps;
}

void BudgetManager::ReadLater(Entry& entry, coordination::TimePoint at) {
  entry.read = false;
  entry.inherited = true;
  entry.read_at = at;
}

std::vector<std::string> BudgetManager::PlanReads(coordination::TimePoint now,
                                                  std::size_t most) {
  std::vector<std::string> planned;
  for (auto& [organisation, entry] : this->entries) {
    if (planned.size() >= most) break;
    // The requests for which this VM stood in are gone.
    const bool stood_in = entry.stand_in_until != coordination::TimePoint{};
    if (stood_in && !this->Holds(entry, now)) {
      entry.stand_in_until = {};
      entry.lacking = 0;
    }
    if (!this->WantsRead(entry, now)) continue;
    entry.busy = true;
    entry.refresh = false;
    entry.next_refresh = now + kRefreshInterval;
    planned.push_back(organisation);
  }
  return planned;
}

// Whether a write of this entry is due; it is prepared then.
bool BudgetManager::PlanWrite(Entry& entry, coordination::TimePoint now) {
  if (entry.busy || !entry.read) return false;
  if (now < entry.next_write && !entry.urgent && !this->stopping) return false;
  if (!entry.deferred && this->MayCloseLater(entry, now)) {
    entry.deferred = true;
    this->ReadLater(entry, now + this->Spread(entry, kCloseSpread));
    return false;
  }
  entry.next_write = now + this->options.write_interval;
  entry.urgent = false;
  const std::int64_t committed = entry.account.Committed();
  BudgetTotal total = entry.rows.total;
  std::int64_t held = this->LimitOf(entry);
  if (this->IsMine(entry)) {
    held = entry.rows.share.limit;
  } else if (entry.rows.share.incarnation != 0) {
    // What the predecessor left is free with this write.
    total.committed = this->NextRows(entry, 0, now).total.committed;
  }
  const LimitRequest request{entry.prepaid, held, committed,
                             committed + entry.lacking,
                             this->WantedLimit(entry, now)};
  const std::int64_t limit = NextLimit(request, total);
  const std::int64_t returning = this->ReturnableGift(entry, now);
  const bool due =
      this->IsDue(entry, limit, now) || returning > entry.prepaid / kReturnPart;
  if (due) {
    entry.pending = this->NextRows(entry, limit, now);
    // They leave the account before the write is sent.
    entry.received -= returning;
    entry.returning = returning;
    entry.pending.total.committed -= returning;
    entry.in_doubt.push_back(entry.pending.share);
    entry.busy = true;
  }
  entry.lacking = 0;
  return due;
}

std::vector<BudgetRows> BudgetManager::PlanWrites(coordination::TimePoint now,
                                                  std::size_t most) {
  this->SampleDemand(now);
  std::vector<BudgetRows> planned;
  for (auto& [organisation, entry] : this->entries) {
    if (planned.size() >= most) break;
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
  // Earlier writes of unknown outcome can't be carried out any more: their
  // conditions no longer hold.
  entry->in_doubt.clear();
  entry->returning = 0;
  entry->conflicts = 0;
  entry->deferred = false;
}

void BudgetManager::OnNotWritten(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->busy = false;
  entry->in_doubt.pop_back();
  entry->received += std::exchange(entry->returning, 0);
  entry->urgent = true;
}

void BudgetManager::OnConflict(const BudgetRows& rows,
                               coordination::TimePoint now) {
  this->OnNotWritten(rows.organisation);
  this->OnRead(rows);
  Entry* entry = this->Find(rows.organisation);
  if (entry == nullptr || now < entry->home_until) return;
  const std::int64_t doublings = std::min(entry->conflicts++, kMostDoublings);
  const coordination::Duration longest = kConflictPause * (1 << doublings);
  this->ReadLater(*entry, now + this->Spread(*entry, longest));
}

void BudgetManager::OnWriteUnknown(std::string_view organisation) {
  Entry* entry = this->Find(organisation);
  if (entry == nullptr) return;
  entry->busy = false;
  // Gifts on the way back may have arrived: they are not used again here.
  entry->returning = 0;
  this->ReadLater(*entry, {});
}

void BudgetManager::OnReadFailed(std::string_view organisation) {
  if (Entry* entry = this->Find(organisation)) entry->busy = false;
}

void BudgetManager::OnRead(const BudgetRows& rows) {
  Entry* entry = this->Find(rows.organisation);
  if (entry == nullptr) return;
  entry->rows = rows;
  if (rows.held_elsewhere) entry->held_elsewhere = *rows.held_elsewhere;
  entry->busy = false;
  entry->read = true;
  entry->inherited = false;
  entry->read_at.reset();
  entry->urgent = true;
  if (this->IsMine(*entry) || rows.share.incarnation == 0) return;
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
  std::vector<BudgetStats> figures;
  for (const auto& [organisation, entry] : this->entries) {
    figures.push_back({organisation, entry.prepaid, this->LimitOf(entry),
                       entry.account.Spent(), entry.account.Reserved(),
                       entry.FreeGift()});
  }
  return figures;
}

}  // namespace hornbeamspool::policy
