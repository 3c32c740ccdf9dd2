// The budgets of all organisations at one VM: reservations by requests, and the
// reads and writes that keep the VM's limits in the store. Organisations are
// independent of each other: the store takes their writes side by side.
//
// At most one call is outstanding for each. A reservation keeps within the
// share that is known to lie in the store and within every share that a write
// of unknown outcome may have put there, so that a lost answer strands tokens
// and never creates them.
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
#include "policy/store_clock.h"

namespace hornbeamspool::policy {

// The rows of one organisation's budget, and their versions in the store (0:
// absent).
struct BudgetRows {
  std::string organisation;
  BudgetTotal total;
  std::uint64_t total_version = 0;
  BudgetShare share;
  std::uint64_t share_version = 0;
  // Tokens that other VMs' shares had left at their checkpoints; empty when
  // only the rows above were read.
  std::optional<std::int64_t> held_elsewhere = std::nullopt;
  // Of rows to write: tokens of the predecessor's share that this write takes
  // as spent without a checkpoint that says so.
  std::int64_t stranded = 0;
};

enum class BudgetVerdict : std::uint8_t {
  kReserved,
  kLimitTooLow,  // this VM's limit is too low; a write may raise it
  kRateLimited,  // this VM's limit has room, its pace will allow it in seconds
  kHeldElsewhere,  // what is left is held by other VMs
  kExhausted,      // the prepaid tokens can't cover the request
  kCount
};

// Whose tokens a reservation was made of.
enum class BudgetSource : std::uint8_t { kShare, kGift, kCount };

// How fast a share may be spent since its checkpoint. What a process that ends
// without a word strands is what it might have spent until its successor began.
// Where that would be much of what is left of the budget, the pace is lower
// while the checkpoint is young, and requests wait at the start of an outage.
struct ShareRateOptions {
  double burst_seconds = 0.7;  // of the demand, at once
  double rate_factor = 1.5;    // times the demand, from then on
  // A process that was killed is back within this time.
  coordination::Duration initial_rate_time = std::chrono::milliseconds(2500);
  // The part of what is left that a death may strand.
  double max_stranded_fraction = 0.05;
  // The pace is not lowered below this part of it.
  double min_initial_rate_fraction = 0.15;
};

struct BudgetManagerOptions {
  // Spending that a limit covers without the store. The store's outages that
  // the platform announces last up to 9 s, and the way back takes a second.
  coordination::Duration bridged_outage = std::chrono::seconds(10);
  // Least time between two writes without a waiting request.
  coordination::Duration write_interval = std::chrono::milliseconds(500);
  ShareRateOptions rate;
  // Gifts cover a peer's demand for this long.
  double gift_seconds = 0.7;
};

// A budget's figures at one VM, for operators.
struct BudgetStats {
  std::string organisation;
  std::int64_t prepaid = 0;
  std::int64_t limit = 0;
  std::int64_t spent = 0;
  std::int64_t reserved = 0;
  std::int64_t gifts = 0;  // of peers, that no request holds
};

// This process: one start of a VM's gateway. Its predecessor on the same VM had
// ended when it began.
struct ProcessStart {
  std::uint64_t incarnation = 0;
  coordination::TimePoint started_at{};
};

class BudgetManager {
 public:
  BudgetManager(ProcessStart start, BudgetManagerOptions options)
      : start(start), options(options) {}

  // The prepaid tokens of an organisation, by the configuration in force.
  void SetPrepaid(std::string_view organisation, std::int64_t prepaid);

  // Sets `amount` tokens aside, of what peers gave or of this VM's own share.
  BudgetVerdict Reserve(std::string_view organisation, std::int64_t amount,
                        coordination::TimePoint now, BudgetSource& source);
  void Settle(std::string_view organisation, std::int64_t amount,
              std::int64_t used, BudgetSource source);

  // Gives tokens of this VM's share away: all of `wanted`, or less but not
  // less than `needed`, or nothing. What is given counts as spent here.
  std::int64_t Give(std::string_view organisation, std::int64_t needed,
                    std::int64_t wanted, coordination::TimePoint now);
  // What this VM's share leaves it now.
  std::int64_t AvailableShare(std::string_view organisation,
                              coordination::TimePoint now) const;
  // Gives away all that this VM's share leaves it now.
  std::int64_t GiveAll(std::string_view organisation,
                       coordination::TimePoint now);
  // What stands in the way of giving `amount` now.
  BudgetVerdict VerdictFor(std::string_view organisation, std::int64_t amount,
                           coordination::TimePoint now);
  // Takes tokens that a peer gave, or gives back.
  void AddGift(std::string_view organisation, std::int64_t amount);
  // Tokens worth asking a peer for, besides those that a request needs now.
  std::int64_t WantedGift(std::string_view organisation) const;
  // Gifts that are more than this VM needs.
  std::int64_t ExcessGifts(std::string_view organisation) const;
  // The same; they leave the account here.
  std::int64_t WithdrawExcessGifts(std::string_view organisation);
  // All gifts that no request holds: a home that has nothing left can then
  // serve the requests of other VMs.
  std::int64_t WithdrawUnreservedGifts(std::string_view organisation);

  // This VM keeps the organisation's tokens: it holds a share until `until`.
  void ActAsHome(std::string_view organisation, coordination::TimePoint until);
  // From here on this VM keeps no organisation's tokens.
  void StopActingAsHome();
  // The organisation's homes don't answer: this VM draws for the request that
  // waits, kLimitTooLow, or says why it can't. Without the store it holds
  // nothing afterwards, so that the fleet does not come back to the store as
  // one.
  BudgetVerdict DrawAsFallback(std::string_view organisation,
                               std::int64_t amount,
                               coordination::TimePoint now);

  // A request waits for tokens: a write is due at once.
  void NoteShortfall(std::string_view organisation, std::int64_t amount);

  // This VM's predecessor may have left a share of the organisation. False when
  // the configuration does not name it.
  bool NotePredecessor(std::string_view organisation);

  // Organisations whose rows to read now, `most` at most. Each is outstanding
  // until OnRead or OnReadFailed.
  std::vector<std::string> PlanReads(coordination::TimePoint now,
                                     std::size_t most);
  // Rows as they are in the store.
  void OnRead(const BudgetRows& rows);
  void OnReadFailed(std::string_view organisation);

  // The rows to write now, each entry in a transaction of its own, `most` at
  // most. Each is outstanding until one of the next three.
  std::vector<BudgetRows> PlanWrites(coordination::TimePoint now,
                                     std::size_t most);
  // The write was acknowledged; its rows have this version.
  void OnWritten(std::string_view organisation, std::uint64_t version);
  // The write was certainly not done.
  void OnNotWritten(std::string_view organisation);
  // The rows had changed; these are the present ones. A home tries again at
  // once, others later and with rows read anew: all VMs of a fleet that write
  // one total as soon as they can leave hardly any of them a turn.
  void OnConflict(const BudgetRows& rows, coordination::TimePoint now);
  // Nobody knows whether the write was done: the rows must be read again.
  void OnWriteUnknown(std::string_view organisation);
  // The store's clock, as an answer told it that was asked for at `asked` and
  // came now.
  void OnStoreClock(std::int64_t store_ms, coordination::TimePoint asked,
                    coordination::TimePoint now);
  // The store did not answer, or does again.
  void SetReachable(bool reachable) { this->reachable = reachable; }

  std::vector<std::string> Organisations() const;
  bool Reachable() const { return this->reachable; }
  // Whether a call is outstanding.
  bool IsBusy(std::string_view organisation) const;

  // From here on writes give every unspent token back.
  void BeginStop() { this->stopping = true; }
  // True when nothing unspent is held any more.
  bool AllReturned() const;

  std::vector<BudgetStats> AllStats() const;

 private:
  struct Entry {
    std::int64_t prepaid = 0;
    BudgetAccount account;      // of this VM's share
    BudgetAccount gifts;        // of what peers gave
    std::int64_t received = 0;  // tokens that peers gave, less given back
    // Of these, on the way to the store with the outstanding write.
    std::int64_t returning = 0;
    coordination::TimePoint home_until{};
    coordination::TimePoint stand_in_until{};
    BudgetRows rows;                  // as last known in the store
    std::int64_t held_elsewhere = 0;  // by the latest whole read
    std::int64_t lacking = 0;         // tokens that waiting requests need
    BudgetRows pending;               // of the outstanding write
    coordination::TimePoint next_write{};
    coordination::TimePoint next_refresh{};
    // When rows that nobody waits for are read; empty: at once.
    std::optional<coordination::TimePoint> read_at;
    std::int64_t conflicts = 0;  // in a row
    bool deferred = false;       // the share's closing was put off once
    bool busy = false;           // a call is outstanding
    bool read = false;           // `rows` are known
    bool inherited = false;      // a predecessor may have left a share
    bool refresh = false;        // a request lacked what other VMs hold
    bool urgent = false;         // a write may be due before its time
    // Shares that writes may have put, or may yet put, into the store.
    std::vector<BudgetShare> in_doubt;

    // Gifts that no request holds.
    std::int64_t FreeGift() const {
      return this->received - this->gifts.Committed();
    }
  };

  bool Holds(const Entry& entry, coordination::TimePoint now) const {
    return !this->stopping &&
           (now < entry.home_until || now < entry.stand_in_until);
  }
  // A part of `longest` by chance, another for each VM and conflict.
  coordination::Duration Spread(const Entry& entry,
                                coordination::Duration longest) const;
  bool MayCloseLater(const Entry& entry, coordination::TimePoint now) const;
  void ReadLater(Entry& entry, coordination::TimePoint at);
  bool IsMine(const Entry& entry) const {
    return entry.rows.share.incarnation == this->start.incarnation;
  }
  std::int64_t GiftTarget(const Entry& entry) const;
  std::int64_t LimitOf(const Entry& entry) const;
  std::int64_t BoundOf(const Entry& entry, coordination::TimePoint now) const;
  std::int64_t WantedLimit(const Entry& entry,
                           coordination::TimePoint now) const;
  bool IsDue(const Entry& entry, std::int64_t next_limit,
             coordination::TimePoint now) const;
  BudgetRows NextRows(const Entry& entry, std::int64_t limit,
                      coordination::TimePoint now) const;
  double YoungPart(const Entry& entry, std::int64_t limit) const;
  std::int64_t ReturnableGift(const Entry& entry,
                              coordination::TimePoint now) const;
  bool WantsRead(const Entry& entry, coordination::TimePoint now) const;
  bool PlanWrite(Entry& entry, coordination::TimePoint now);
  void SampleDemand(coordination::TimePoint now);
  Entry* Find(std::string_view organisation);
  const Entry* Find(std::string_view organisation) const;

  std::map<std::string, Entry, std::less<>> entries;
  coordination::TimePoint last_sample{};
  StoreClock store_clock;
  // The store's clock when this process began, or later.
  std::int64_t began_ms = std::numeric_limits<std::int64_t>::max();
  ProcessStart start;
  BudgetManagerOptions options;
  bool reachable = true;
  bool stopping = false;
};

}  // namespace hornbeamspool::policy
