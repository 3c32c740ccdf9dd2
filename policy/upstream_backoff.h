// Keeps requests away from upstreams that have asked for none in their answers:
// for good, since they leave, or for a while. The word is an instance's own and
// holds whatever the registry says of it.
//
// A pause concerns one VM: the one whose connection carried the answer. It may
// be another VM than this one, which sends through it. After a pause few
// requests are sent until some are answered.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class UpstreamBackoff {
 public:
  // How long an instance counts as leaving whose next start can't be told from
  // it, since the registry names no start time.
  static constexpr coordination::Duration kUnidentifiedTimeout =
      std::chrono::minutes(2);

  explicit UpstreamBackoff(std::string vm) : vm(std::move(vm)) {}

  // The instance has said at `said_at` that it leaves. `identified`: its next
  // start has another instance id. Returns whether that is news.
  bool OnLeaving(std::string_view instance, bool identified,
                 coordination::TimePoint said_at);
  // The instance has asked `vm` for a pause, which began at `now`. A shorter
  // pause doesn't end a longer one. Returns whether the end has moved by more
  // than kMinExtension.
  bool OnPause(std::string_view vm, std::string_view instance,
               coordination::Duration pause, coordination::TimePoint now);

  // Whether nothing is known of any instance.
  bool Empty() const { return this->leaving.empty() && this->pauses.empty(); }
  bool IsLeaving(std::string_view instance, coordination::TimePoint now) const;
  // The end of the pause that the instance asked `vm` for; zero when none is in
  // force.
  coordination::TimePoint PausedUntil(std::string_view vm,
                                      std::string_view instance,
                                      coordination::TimePoint now) const;
  // Whether `vm` must send nothing to the instance: it leaves, or the pause is
  // in force.
  bool IsWithheld(std::string_view vm, std::string_view instance,
                  coordination::TimePoint now) const;
  // Whether the instance may be chosen for one more request of `vm`: it is not
  // withheld, and not too many requests try the end of a pause.
  bool MayChoose(std::string_view vm, std::string_view instance,
                 coordination::TimePoint now) const;

  // Sets the number of requests that this VM may have in flight at an upstream
  // of so many slots right after a pause.
  void SetFleetSize(std::int64_t vms) { this->fleet_size = vms; }
  // Counts a request that this VM sends to the instance, the first part of an
  // answer that asks for no pause, and the end of the request.
  void OnSent(std::string_view instance, std::int64_t slots,
              coordination::TimePoint now);
  void OnAnswer(std::string_view instance, coordination::TimePoint sent_at);
  void OnEnded(std::string_view instance, coordination::TimePoint sent_at);

  // What other VMs should know.
  struct Notice {
    std::string instance;
    std::string vm;  // of a pause; empty: the instance leaves
    bool identified = true;
    coordination::Duration remaining{};  // of a pause
    // Since the instance said that it leaves, at most kMaxNoticeAge. Keeps VMs
    // from telling each other for good of an instance that is gone.
    coordination::Duration age{};
  };
  static constexpr coordination::Duration kMaxNoticeAge =
      std::chrono::minutes(5);
  std::vector<Notice> Notices(coordination::TimePoint now) const;

  // Drops ended pauses, and instances that are not in `live` and have last said
  // that they leave longer than kRetention ago.
  void Prune(const std::set<std::string, std::less<>>& live,
             coordination::TimePoint now);

 private:
  // How long the word of an instance is kept that is not in the registry.
  static constexpr coordination::Duration kRetention = std::chrono::minutes(1);
  // Rejections that were in flight together ask for about the same pause.
  static constexpr coordination::Duration kMinExtension =
      std::chrono::milliseconds(200);
  // Bounds what peers may add.
  static constexpr std::size_t kMaxInstances = 4096;

  struct Leaving {
    bool identified = true;
    coordination::TimePoint said_at{};
  };

  struct Pause {
    coordination::TimePoint end{};    // as the upstream asked
    coordination::TimePoint until{};  // with jitter
    // Of requests that this VM has sent since the end of the pause.
    std::int64_t in_flight = 0;
    std::int64_t answers = 0;
    std::int64_t window = 1;  // most in flight
  };

  // By VM and instance.
  using PauseKey = std::pair<std::string, std::string>;
  // Null when the instance has asked `vm` for none, or it is forgotten.
  const Pause* FindPause(std::string_view vm, std::string_view instance) const;
  // This VM's pause whose end a request sent at `sent_at` tries; null when
  // there is none.
  Pause* FindTried(std::string_view instance, coordination::TimePoint sent_at);

  std::string vm;
  std::map<std::string, Leaving, std::less<>> leaving;  // by instance
  std::map<PauseKey, Pause> pauses;
  std::int64_t fleet_size = 1;
};

}  // namespace hornbeamspool::policy
