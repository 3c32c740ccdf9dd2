// The rate limits that upstreams announce. A limit holds for the requests of
// all VMs together, and belongs to one instance of the upstream.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/announced_rate.h"

namespace hornbeamspool::policy {

class RateLimits {
 public:
  // What an answer changed in what this VM knows of an upstream's limit.
  enum class Change : std::uint8_t {
    kNone,
    kAnnounced,
    kChanged,
    kEnded,
    kMalformed,  // the limit before it, if any, stays
    kCount
  };

  // Takes the limit from an answer of the instance to a request that was sent
  // at `sent_at`. An answer without a limit ends it, unless the request was
  // sent before the limit was last announced.
  Change OnAnswer(std::string_view instance, const AnnouncedRate& rate,
                  coordination::TimePoint sent_at, coordination::TimePoint now);
  // Counts a request that this VM sends to the instance.
  void OnSent(std::string_view instance, coordination::TimePoint now);
  // Drops what was last announced before `horizon` by instances that are not in
  // `live`.
  void Prune(const std::set<std::string, std::less<>>& live,
             coordination::TimePoint horizon);

  struct Stats {
    std::string instance;
    double per_second = 0;  // the limit
    double sent = 0;        // by this VM, in requests a second
  };
  // Of all upstreams that announce a limit.
  std::vector<Stats> AllStats(coordination::TimePoint now) const;

 private:
  struct State {
    AnnouncedRate rate;
    coordination::TimePoint announced_at{};
    bool malformed = false;  // so was the latest announcement
    std::deque<coordination::TimePoint> sends;  // in the last kSendWindow
  };

  // Period over which sends are counted.
  static constexpr coordination::Duration kSendWindow = std::chrono::seconds(4);

  std::map<std::string, State, std::less<>> states;
};

}  // namespace hornbeamspool::policy
