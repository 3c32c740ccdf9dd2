// Tracks poison requests: requests that crash the upstreams that run them.
//
// A request is suspect once several instances of upstreams crashed while it
// was in flight there and no upstream has answered it since. Suspects are
// refused, so that they crash no further upstream. Other requests that were in
// flight at the same upstreams are cleared by their first answer.
//
// An instance is one run of an upstream's process: an upstream that restarts
// under its id is another instance. Requests are identified by their
// fingerprint, a hash of path, key and body.
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
#include "policy/unanswered_sends.h"

namespace hornbeamspool::policy {

// The requests that were in flight at one instance of an upstream when it
// crashed.
struct CrashNotice {
  std::string instance_id;
  std::vector<std::uint64_t> fingerprints;
};

class CrashSuspects {
 public:
  // Limit of one notice, so that it fits a datagram.
  static constexpr std::size_t kMaxNoticeFingerprints = 128;

  // The crashes of a request are forgotten this long after the last of them, or
  // after the request was last refused.
  static constexpr coordination::Duration kSuspicionTimeout =
      std::chrono::minutes(2);

  // A copy of the request was sent to this instance of an upstream.
  void OnSent(std::uint64_t fingerprint, std::string_view instance_id) {
    this->sends.OnSent(fingerprint, instance_id);
  }
  // A copy of the request is no longer in flight there.
  void OnEnded(std::uint64_t fingerprint, std::string_view instance_id) {
    this->sends.OnEnded(fingerprint, instance_id);
  }
  // The instance may have run the request and sent no complete answer. Kept
  // as evidence in case the instance turns out to have crashed.
  void OnIncompleteAnswer(std::uint64_t fingerprint,
                          std::string_view instance_id,
                          coordination::TimePoint now) {
    this->sends.OnIncompleteAnswer(fingerprint, instance_id, now);
  }
  // An upstream answered the request, and not with an error of its own. Clears
  // the request.
  void OnAnswered(std::uint64_t fingerprint);
  // The instance ended without draining. Counts a crash for each request
  // that was in flight there or got no complete answer lately.
  void OnCrash(std::string_view instance_id, coordination::TimePoint now);
  // Counts a crash that another VM, or this VM's previous process, saw at
  // `seen_at`.
  void ApplyNotice(const CrashNotice& notice, coordination::TimePoint seen_at);
  // Restarts the retention of incomplete answers. Called while the registry
  // does not show which instances have ended.
  void ExtendIncompleteAnswers(coordination::TimePoint now) {
    this->sends.ExtendIncomplete(now);
  }

  // The number of instances that crashed with this request in flight.
  std::size_t CrashCount(std::uint64_t fingerprint,
                         coordination::TimePoint now);
  bool IsSuspect(std::uint64_t fingerprint, coordination::TimePoint now) {
    return this->CrashCount(fingerprint, now) >= kSuspectCrashes;
  }
  // Whether the request may be sent now. Suspects may not. A request that would
  // become a suspect with its next crash may have only one copy in flight from
  // this VM, since several would crash several upstreams.
  bool MaySend(std::uint64_t fingerprint, coordination::TimePoint now);
  // A suspect was refused. Renews its timeout here and, by a notice from time
  // to time, at the other VMs.
  void OnRefused(std::uint64_t fingerprint, coordination::TimePoint now);

  // Whether to probe the instance's address now: an answer from it was
  // incomplete and it was not probed just before. Counts as a probe when true.
  bool ShouldProbe(std::string_view instance_id, coordination::TimePoint now);

  // Returns the notices that are due for the other VMs, and removes them. A
  // request's first crash is announced after a delay, and only if the request
  // was not answered in the meantime; later crashes are announced at once.
  std::vector<CrashNotice> TakeNotices(coordination::TimePoint now);

 private:
  // A request with this many crashes is suspect.
  static constexpr std::size_t kSuspectCrashes = 3;

  struct Suspect {
    // The instances that crashed with the request in flight.
    std::set<std::string, std::less<>> crashed;
    coordination::TimePoint last_seen{};     // the last crash or refusal
    coordination::TimePoint announced_at{};  // the last crash or renewal notice
  };
  struct PendingNotice {
    CrashNotice notice;
    coordination::TimePoint due{};
  };

  void EvictSuspects();
  void AddNotice(std::string_view instance_id, std::uint64_t fingerprint,
                 coordination::TimePoint due);

  UnansweredSends<std::uint64_t> sends;  // fingerprints
  // Every request with a crash, whether or not it is suspect yet.
  std::map<std::uint64_t, Suspect> suspects;
  std::deque<PendingNotice> pending;
  // Time of the last probe by instance.
  std::map<std::string, coordination::TimePoint, std::less<>> probed;
};

}  // namespace hornbeamspool::policy
