// Finds poison parts: parts of prompts that crash each upstream that begins to
// answer a request with them, whatever else the request holds.
//
// A crash counts against all parts of the requests that were in flight at the
// instance and whose answers had not begun. An answer that begins on a request
// clears all of its parts. A part is named poison when crashes of several
// instances in succession count against it that no other named part explains.
// Requests with a named part are refused, except a few trials.
//
// What this VM observes is shared as records, which may arrive more than once
// and in any order.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/time.h"
#include "policy/part_popularity.h"
#include "policy/poison_part_record.h"
#include "policy/unanswered_sends.h"

namespace hornbeamspool::policy {

class PoisonParts {
 public:
  // A part is forgotten this long after its last crash, or after a request with
  // it was last refused.
  static constexpr coordination::Duration kTimeout = std::chrono::minutes(2);

  // A record is returned again by TakeRecords after this time.
  static constexpr coordination::Duration kRepeatDelay =
      std::chrono::milliseconds(500);

  // In records: any part. A request's part with this id is not tracked.
  static constexpr std::uint64_t kAnyPart = 0;

  // The parts of one request that are tracked.
  static constexpr std::size_t kMaxPartsPerRequest = 32;

  // Adds a part of a request, as far as it is tracked and not there yet.
  static void AddPart(std::vector<std::uint64_t>& parts, std::uint64_t part);

  // A part was named, or a named part was cleared or forgotten, or another part
  // explains its crashes.
  struct Change {
    std::uint64_t part = 0;
    bool named = false;
    std::vector<std::string> crashed{};  // instances, of a named part

    // The fields of a log line.
    std::string Fields() const;
  };

  explicit PoisonParts(std::string vm) : vm(std::move(vm)) {}

  // Sets the other VMs of the fleet. Records of named parts are sent again when
  // one is new.
  void SetPeers(std::vector<std::string> vms);

  // A request with these parts was sent to the instance. A trial if one of the
  // parts is named.
  void OnSent(std::span<const std::uint64_t> parts,
              std::string_view instance_id, coordination::TimePoint now);
  // The first whole event of the answer to this send has arrived, or all of an
  // answer without events. Returns whether the other VMs should be told at
  // once.
  bool OnAnswerBegun(std::span<const std::uint64_t> parts,
                     std::string_view instance_id,
                     coordination::TimePoint sent_at,
                     coordination::TimePoint now);
  // The send ended before its answer began. `may_have_run`: the instance may
  // have crashed by it.
  void OnEndedUnanswered(std::span<const std::uint64_t> parts,
                         std::string_view instance_id,
                         coordination::TimePoint sent_at, bool may_have_run,
                         coordination::TimePoint now);
  // The instance ended without draining.
  void OnCrash(std::string_view instance_id, coordination::TimePoint now);
  // Restarts the retention of incomplete answers.
  void ExtendIncompleteAnswers(coordination::TimePoint now) {
    this->sends.ExtendIncomplete(now);
  }
  // Applies records of another VM.
  void Apply(std::span<const PoisonPartRecord> records,
             coordination::TimePoint now);
  // Applies records of this VM's previous process, and keeps them in this VM's
  // row.
  void Adopt(std::span<const PoisonPartRecord> records,
             coordination::TimePoint now);
  // Forgets the parts whose timeout has passed.
  void Expire(coordination::TimePoint now);

  // The first named part; empty when there is none.
  std::optional<std::uint64_t> NamedPart(
      std::span<const std::uint64_t> parts) const;
  // Whether a request with these parts may be sent now: it holds no named part,
  // or this VM may make a trial with it.
  bool MaySend(std::span<const std::uint64_t> parts,
               coordination::TimePoint now) const;
  // A request was refused because of its named parts.
  void OnRefused(std::span<const std::uint64_t> parts,
                 coordination::TimePoint now);

  // Returns the records that are due for the other VMs. Each is returned
  // several times, at intervals, since datagrams may be lost.
  std::vector<PoisonPartRecord> TakeRecords(coordination::TimePoint now);
  // Returns the records for this VM's row in the store, the latest last.
  std::vector<PoisonPartRecord> RowRecords(coordination::TimePoint now) const;

  // Returns the changes since the last call.
  std::vector<Change> TakeChanges() { return std::exchange(this->changes, {}); }
  // The number of parts that crashes count against.
  std::size_t SuspectedCount() const;
  std::size_t NamedCount() const { return this->named.size(); }

 private:
  using TimePoint = coordination::TimePoint;

  struct Send {
    std::uint64_t part = 0;
    TimePoint at{};
    friend bool operator==(const Send&, const Send&) = default;
  };
  // A crash that counts against a part.
  struct Crash {
    TimePoint sent_at{};  // of the latest request with the part
    TimePoint at{};
  };
  struct Suspect {
    std::map<std::string, Crash, std::less<>> crashes;  // by instance
    std::set<std::string> trials;
    TimePoint tried_at{};
    TimePoint answered_at{};
    TimePoint last_seen{};     // the last crash or refusal
    TimePoint announced_at{};  // the last crash or refusal that all VMs know of
    std::size_t rounds = 0;    // crashes in succession
  };
  struct OwnRecord {
    PoisonPartRecord record;
    std::size_t announcements = 0;
  };

  Suspect& SuspectOf(std::uint64_t part);
  bool AddOwn(PoisonPartRecord record);
  bool Merge(const PoisonPartRecord& record);
  bool MergeCrash(Suspect& suspect, const PoisonPartRecord& record);
  static std::size_t RoundsOf(const Suspect& suspect,
                              const std::set<std::string_view>& explained);
  void NameParts(TimePoint now);
  bool MayTry(std::uint64_t part, TimePoint now) const;
  const Suspect* Find(std::uint64_t part) const;
  // Whether the record is of a crash that does not count any more.
  bool IsCleared(const PoisonPartRecord& record) const;
  void AddLatestAnswer(std::vector<PoisonPartRecord>& records) const;
  void EvictSuspects();

  std::string vm;
  std::vector<std::string> peers;
  UnansweredSends<Send> sends;
  PartPopularity popularity;
  std::map<std::uint64_t, Suspect> suspects;  // by part
  std::map<std::uint64_t, TimePoint> named;   // since when
  std::vector<OwnRecord> own;                 // the oldest first
  TimePoint answer_begun_at{};                // the latest that is known of
  // A part lacks only an answer to another request to be named.
  bool awaits_answer = false;
  std::vector<Change> changes;
};

}  // namespace hornbeamspool::policy
