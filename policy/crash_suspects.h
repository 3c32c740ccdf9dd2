// Requests that may be the cause when upstreams fall over. A request is suspect
// once upstreams went down while they had it, at several of them, and none has
// answered it: the next would go down too. What else those upstreams had in
// hand is cleared by its first answer.
#pragma once

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
  std::string upstream;
  std::vector<std::uint64_t> fingerprints;
};

class CrashSuspects {
 public:
  // Requests of one notice, so that it fits a datagram.
  static constexpr std::size_t kMostNoticed = 128;

  // An answer broke off, or never began.
  void OnBroken(std::uint64_t fingerprint, std::string_view upstream,
                coordination::TimePoint now);
  // An upstream answered it.
  void OnAnswered(std::uint64_t fingerprint);
  // This start of the upstream has ended without a word.
  void OnDown(std::string_view upstream, coordination::TimePoint now);
  // What another VM saw.
  void Learn(const CrashNotice& notice, coordination::TimePoint now);

  // Upstreams that went down with this request.
  std::size_t CrashesOf(std::uint64_t fingerprint, coordination::TimePoint now);
  bool IsSuspect(std::uint64_t fingerprint, coordination::TimePoint now) {
    return this->CrashesOf(fingerprint, now) >= kMostCrashes;
  }

  // What to tell the other VMs, of crashes some time ago: requests that were
  // answered since are left out.
  std::vector<CrashNotice> TakeNotices(coordination::TimePoint now);

 private:
  // After so many, a request is refused.
  static constexpr std::size_t kMostCrashes = 3;

  struct Break {
    std::uint64_t fingerprint = 0;
    std::string upstream;
    coordination::TimePoint at{};
  };
  struct Suspect {
    std::set<std::string, std::less<>> upstreams;  // that went down with it
    coordination::TimePoint last{};
  };
  struct Pending {
    CrashNotice notice;
    coordination::TimePoint due{};
  };

  void Forget(coordination::TimePoint now);

  std::deque<Break> breaks;  // the oldest first
  std::map<std::uint64_t, Suspect> suspects;
  std::deque<Pending> pending;
};

}  // namespace hornbeamspool::policy
