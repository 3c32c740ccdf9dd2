// Requests that may be the cause when upstreams fall over. A request is suspect
// once several starts of upstreams went down while they had it and none has
// answered it: the next would go down too. What else those upstreams had in
// hand is cleared by its first answer.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Requests, by fingerprint, that one start of an upstream had in hand when it
// went down.
struct CrashNotice {
  std::string start;
  std::vector<std::uint64_t> fingerprints;
};

class CrashSuspects {
 public:
  // Requests of one notice, so that it fits a datagram.
  static constexpr std::size_t kMostNoticed = 128;

  // A suspicion ends when nobody has brought the request for this long.
  static constexpr coordination::Duration kMemory = std::chrono::minutes(2);

  // The start of an upstream has the request in hand, or no longer.
  void OnSent(std::uint64_t fingerprint, std::string_view start);
  void OnEnded(std::uint64_t fingerprint, std::string_view start);
  // It had the request, and no whole answer came.
  void OnBroken(std::uint64_t fingerprint, std::string_view start,
                coordination::TimePoint now);
  // An upstream answered it, and not by a failure of its own.
  void OnAnswered(std::uint64_t fingerprint);
  // This start has ended without a word.
  void OnDown(std::string_view start, coordination::TimePoint now);
  // What another VM saw, or this one's predecessor, at that time.
  void Learn(const CrashNotice& notice, coordination::TimePoint seen_at);
  // While it can't be told which starts have ended, what broke off is kept.
  void HoldBroken(coordination::TimePoint now);

  // Starts that went down with this request.
  std::size_t CrashesOf(std::uint64_t fingerprint, coordination::TimePoint now);
  bool IsSuspect(std::uint64_t fingerprint, coordination::TimePoint now) {
    return this->CrashesOf(fingerprint, now) >= kMostCrashes;
  }
  // Whether the request may be sent: no suspect, and one that is close to it
  // only while no other copy is under way here.
  bool MaySend(std::uint64_t fingerprint, coordination::TimePoint now);
  // A suspect was brought again: the suspicion goes on, here and elsewhere.
  void OnRefused(std::uint64_t fingerprint, coordination::TimePoint now);

  // Whether the start should be asked if it is still there: answers of it broke
  // off, and it wasn't asked just before.
  bool WantsProbe(std::string_view start, coordination::TimePoint now);

  // What to tell the other VMs: of requests that went down with several starts
  // at once, of others some time later unless they were answered since.
  std::vector<CrashNotice> TakeNotices(coordination::TimePoint now);

 private:
  // After so many, a request is refused.
  static constexpr std::size_t kMostCrashes = 3;

  struct Break {
    std::uint64_t fingerprint = 0;
    std::string start;
    coordination::TimePoint at{};
  };
  struct Suspect {
    std::set<std::string, std::less<>> starts;  // that went down with it
    coordination::TimePoint last{};
    coordination::TimePoint told_at{};
  };
  struct Pending {
    CrashNotice notice;
    coordination::TimePoint due{};
  };

  void Forget(coordination::TimePoint now);
  void MakeRoom();
  bool IsInHand(std::uint64_t fingerprint) const;
  std::vector<std::uint64_t> TakeInHand(std::string_view start);
  void Tell(std::string_view start, std::uint64_t fingerprint,
            coordination::TimePoint due);

  std::map<std::string, std::vector<std::uint64_t>, std::less<>> in_hand;
  std::deque<Break> breaks;  // the oldest first
  std::map<std::uint64_t, Suspect> suspects;
  std::deque<Pending> pending;
  std::map<std::string, coordination::TimePoint, std::less<>> probed;
};

}  // namespace hornbeamspool::policy
