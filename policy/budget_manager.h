// The prepaid budgets of all organisations at one VM.
#pragma once

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/budget_share.h"
#include "policy/budgets/budget_figures.h"
#include "policy/budgets/share_rate.h"
#include "policy/store_clock.h"

namespace hornbeamspool::policy {

// The rows of one organisation's budget, and their versions in the store. A
// version of 0 means that the row is absent.
struct BudgetRows {
  std::string organisation;
  BudgetTotal total;
  std::uint64_t total_version = 0;
  BudgetShare share;  // of this VM
  std::uint64_t share_version = 0;
  // Unspent tokens of other VMs' shares at their checkpoints. Empty if only the
  // rows above were read.
  std::optional<std::int64_t> held_elsewhere = std::nullopt;
  // Another VM has unspent tokens in a share that was written before the store
  // was restored. Set together with `held_elsewhere`.
  bool unasserted_elsewhere = false;
  std::uint64_t era = 0;  // of the store whose versions these are
  // In rows to write: tokens of the predecessor's share that this write counts
  // as spent although no checkpoint says so.
  std::int64_t stranded = 0;
};

// The result of a reservation.
enum class BudgetVerdict : std::uint8_t {
  kReserved,
  kLimitTooLow,    // a write may raise this VM's limit
  kRateLimited,    // within the limit; the rate limit allows it in seconds
  kHeldElsewhere,  // other VMs hold the tokens that are left
  kExhausted,      // the prepaid tokens left can't cover the request
  kCount
};

// The tokens that a reservation was made from: this VM's share, or gifts.
enum class BudgetSource : std::uint8_t { kShare, kGift, kCount };

struct BudgetManagerOptions {
  // Time without the store that a limit lasts. Announced outages of the
  // platform's store last up to 9 s, and reconnecting takes a second.
  coordination::Duration bridged_outage = std::chrono::seconds(10);
  // Minimum time between two writes of a budget that no request waits for.
  coordination::Duration write_interval = std::chrono::milliseconds(500);
  ShareRateOptions rate;
  // Gifts cover the receiver's demand for this long.
  double gift_seconds = 0.7;
};

// State of one budget at one VM, for operators. All amounts are in tokens.
struct BudgetStats {
  std::string organisation;
  std::int64_t prepaid = 0;
  std::int64_t limit = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  std::int64_t gifts = 0;  // received and not reserved
  std::int64_t gifts_reserved = 0;
};

// Identifies this process, one start of a VM's gateway. Its predecessor on the
// VM has ended before `started_at`.
struct ProcessStart {
  std::uint64_t incarnation = 0;
  coordination::TimePoint started_at{};
};

// Reserves tokens for requests at one VM, and plans the reads and writes that
// keep the VM's shares in the store up to date.
//
// Each organisation has a home, the VM that holds a share large enough for an
// outage of the store. The other VMs ask the home for tokens and receive gifts:
// tokens that count as spent at the giver and that the receiver may spend. A VM
// that can't get tokens from a home draws a small share itself, as a fallback.
// The caller decides which VM is a home and sends the messages between VMs.
//
// At most one call to the store is outstanding for each organisation;
// organisations are independent, so their calls run in parallel. Reservations
// stay within the share that is known to be stored and within every share that
// a write of unknown outcome may have stored. A lost answer therefore strands
// tokens at worst, and never creates any.
//
// Calls for an organisation without SetPrepaid() have no effect; verdicts are
// kLimitTooLow then.
class BudgetManager {
 public:
  BudgetManager(ProcessStart start, BudgetManagerOptions options)
      : start(start), options(options) {}

  // Sets an organisation's prepaid tokens, from the configuration in force.
  void SetPrepaid(std::string_view organisation, std::int64_t prepaid);

  // Reserves `amount` tokens, from gifts if they suffice, otherwise from the
  // share. Sets `source` if the verdict is kReserved.
  BudgetVerdict Reserve(std::string_view organisation, std::int64_t amount,
                        coordination::TimePoint now, BudgetSource& source);
  // Ends a reservation of `amount` tokens, of which `used` were spent.
  void Settle(std::string_view organisation, std::int64_t amount,
              std::int64_t used, BudgetSource source);

  // Takes tokens for a gift from this VM's share, where they count as spent.
  // Returns their number: between `needed` and `wanted`, or 0.
  std::int64_t Give(std::string_view organisation, std::int64_t needed,
                    std::int64_t wanted, coordination::TimePoint now);
  // Tokens of this VM's share that can be reserved now.
  std::int64_t AvailableShare(std::string_view organisation,
                              coordination::TimePoint now) const;
  // Takes all of AvailableShare() for a gift. Returns the number of tokens.
  std::int64_t GiveAll(std::string_view organisation,
                       coordination::TimePoint now);
  // Why `amount` tokens can't be given now. kLimitTooLow if they can.
  BudgetVerdict VerdictFor(std::string_view organisation, std::int64_t amount,
                           coordination::TimePoint now);
  // Adds a received gift, or one that could not be sent.
  void AddGift(std::string_view organisation, std::int64_t amount);
  // Tokens to ask a home for in advance, besides those that a request needs
  // now.
  std::int64_t WantedGift(std::string_view organisation) const;
  // Unreserved gifts beyond this VM's demand.
  std::int64_t ExcessGifts(std::string_view organisation) const;
  // Removes the excess gifts from the account, to be sent back. Returns their
  // number of tokens.
  std::int64_t WithdrawExcessGifts(std::string_view organisation);
  // Removes all unreserved gifts. They are sent to a home that has nothing
  // left, where they may add up to enough for a request.
  std::int64_t WithdrawUnreservedGifts(std::string_view organisation);

  // Makes this VM a home of the organisation until `until`.
  void ActAsHome(std::string_view organisation, coordination::TimePoint until);
  // Ends the role of home, or fallback, for all organisations.
  void StopActingAsHome();
  // Called when no home of the organisation has answered. Plans a write that
  // draws tokens for the waiting request and returns kLimitTooLow, or returns
  // why that is not possible. While the store is unreachable no write is
  // planned, so that not all VMs of the fleet write at once when it is back.
  BudgetVerdict DrawAsFallback(std::string_view organisation,
                               std::int64_t amount,
                               coordination::TimePoint now);

  // Adds `amount` tokens, which a request waits for, to what the next write
  // should draw. The write may be due at once.
  void AddShortfall(std::string_view organisation, std::int64_t amount);

  // Schedules a read of the share that this VM's predecessor may have left.
  // Returns false if the configuration does not name the organisation.
  bool ScheduleInheritedRead(std::string_view organisation);

  // Organisations whose rows are to be read now, at most `max_count`. Each call
  // is outstanding until OnRead or OnReadFailed.
  std::vector<std::string> PlanReads(coordination::TimePoint now,
                                     std::size_t max_count);
  // The rows in the store.
  void OnRead(const BudgetRows& rows);
  void OnReadFailed(std::string_view organisation);

  // Rows to write now, at most `max_count`, each entry in its own transaction
  // conditional on the versions. Each call is outstanding until OnWritten,
  // OnNotWritten, OnConflict or OnWriteUnknown.
  std::vector<BudgetRows> PlanWrites(coordination::TimePoint now,
                                     std::size_t max_count);
  // The write succeeded; the rows have this version.
  void OnWritten(std::string_view organisation, std::uint64_t version);
  // The write was certainly not carried out.
  void OnNotWritten(std::string_view organisation);
  // A version differed; `rows` are the stored ones. A home tries again at once.
  // Other VMs back off and read again first: if all VMs wrote a contended row
  // as soon as they could, hardly any would succeed.
  void OnConflict(const BudgetRows& rows, coordination::TimePoint now);
  // The write may have been carried out: the rows must be read again.
  void OnWriteUnknown(std::string_view organisation);
  // The store is in this era. A newer era than before means that it was
  // restored from an older copy: the shares and totals there lack what was
  // drawn since. A VM goes on with the limits that it holds and writes them
  // again at once; no limit is raised until the other VMs have done so, too.
  void OnEra(std::uint64_t era, coordination::TimePoint now);
  std::uint64_t Era() const { return this->era; }
  // An answer received at `now`, to a call made at `asked`, gave the store's
  // clock in milliseconds.
  void OnStoreClock(std::int64_t store_ms, coordination::TimePoint asked,
                    coordination::TimePoint now);
  // Whether the store answered the latest call.
  void SetReachable(bool reachable) { this->reachable = reachable; }

  std::vector<std::string> Organisations() const;
  bool Reachable() const { return this->reachable; }
  // Whether a call to the store is outstanding.
  bool IsBusy(std::string_view organisation) const;

  // From now on writes return all unspent tokens.
  void BeginStop() { this->stopping = true; }
  // Whether no share has unspent tokens and no call is outstanding.
  bool AllReturned() const;

  std::vector<BudgetStats> AllStats() const;
  // What this VM knows of the organisation's budget.
  BudgetFigures Figures(std::string_view organisation) const;

 private:
  // One organisation's budget.
  struct Entry {
    std::int64_t prepaid = 0;
    BudgetAccount account;            // of this VM's share
    BudgetAccount gift_account;       // of the gifts
    std::int64_t gifts_received = 0;  // tokens, less those sent back
    // Gifts that the outstanding write returns to the store.
    std::int64_t returning = 0;
    coordination::TimePoint home_until{};
    coordination::TimePoint fallback_until{};
    BudgetRows rows;                  // as last known in the store
    std::int64_t held_elsewhere = 0;  // as of the last complete read
    std::int64_t shortfall = 0;       // tokens that waiting requests need
    BudgetRows pending;               // of the outstanding write
    coordination::TimePoint next_write{};
    coordination::TimePoint next_refresh{};
    // When to read rows that no request waits for. Empty: at once.
    std::optional<coordination::TimePoint> read_at;
    std::int64_t conflicts = 0;      // consecutive
    bool close_deferred = false;     // the write that closes the share
    bool busy = false;               // a call is outstanding
    bool rows_known = false;         // `rows` have been read
    bool read_scheduled = false;     // at `read_at`
    bool refresh_requested = false;  // a request needs what other VMs hold
    bool write_requested = false;    // before `next_write`
    // After a restore of the store, until the share has been written again: the
    // limit that this VM holds.
    std::optional<std::int64_t> held_limit;
    bool unasserted_elsewhere = false;  // as of the last complete read
    // Shares that writes may have put, or may still put, into the store.
    std::vector<BudgetShare> in_doubt;

    std::int64_t UnreservedGifts() const {
      return this->gifts_received - this->gift_account.Committed();
    }
  };

  // Whether this VM may hold tokens of the organisation that no request needs.
  bool MayHold(const Entry& entry, coordination::TimePoint now) const {
    return !this->stopping &&
           (now < entry.home_until || now < entry.fallback_until);
  }
  coordination::Duration Jitter(const Entry& entry,
                                coordination::Duration max_delay) const;
  bool MayDeferClose(const Entry& entry, coordination::TimePoint now) const;
  void ScheduleRead(Entry& entry, coordination::TimePoint at);
  // Whether the stored share was written by this process, not a predecessor.
  bool OwnsStoredShare(const Entry& entry) const {
    return entry.rows.share.incarnation == this->start.incarnation;
  }
  std::int64_t GiftTarget(const Entry& entry) const;
  // The limit in force: the lowest of the stored share and those in doubt.
  std::int64_t LimitOf(const Entry& entry) const;
  // The most tokens that may be committed now: the lowest CapAt() of the stored
  // share and those in doubt.
  std::int64_t CapOf(const Entry& entry, coordination::TimePoint now) const;
  std::int64_t WantedLimit(const Entry& entry,
                           coordination::TimePoint now) const;
  // The limit that a write may set at most, after a restore of the store.
  std::int64_t MaxLimit(const Entry& entry, coordination::TimePoint now) const;
  bool IsWriteDue(const Entry& entry, std::int64_t next_limit,
                  coordination::TimePoint now) const;
  BudgetRows NextRows(const Entry& entry, std::int64_t limit,
                      coordination::TimePoint now) const;
  // Tokens of the budget that are not known to be spent, if this VM's limit is
  // raised to `limit`.
  std::int64_t LeftOf(const Entry& entry, std::int64_t limit) const;
  std::int64_t ReturnableGifts(const Entry& entry,
                               coordination::TimePoint now) const;
  bool IsReadDue(const Entry& entry, coordination::TimePoint now) const;
  bool PlanWrite(Entry& entry, coordination::TimePoint now);
  void SampleDemand(coordination::TimePoint now);
  Entry* Find(std::string_view organisation);
  const Entry* Find(std::string_view organisation) const;

  std::map<std::string, Entry, std::less<>> entries;
  coordination::TimePoint last_sample{};
  StoreClock store_clock;
  std::uint64_t era = 0;                  // of the store; 0: not known
  coordination::TimePoint restored_at{};  // zero: never
  // Upper bound of the store's clock when this process started.
  std::int64_t started_ms = std::numeric_limits<std::int64_t>::max();
  ProcessStart start;
  BudgetManagerOptions options;
  bool reachable = true;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
