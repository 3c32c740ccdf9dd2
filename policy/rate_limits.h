// Keeps the rate limits that upstreams announce. A limit holds for the requests
// of all VMs together, and belongs to one instance of the upstream.
//
// Each request to a limited instance takes a permit. Up to three VMs, chosen
// for the instance by rendezvous hashing, issue its permits: each fills a token
// bucket with its part of the limit, and sends from it or grants the permits
// that other VMs request. The parts add up to the limit. While an issuer does
// not answer, the others raise their parts, but never to more than kMaxOverlap
// of the limit together, so that issuers that disagree on who is alive stay
// within a bound without communicating.
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
  // VMs that issue permits for one instance.
  static constexpr std::size_t kMaxIssuers = 3;
  // Sum of the issuers' raised parts, as a multiple of the limit.
  static constexpr double kMaxOverlap = 1.35;
  // Lower limits, zero among them, are enforced as this many requests a second,
  // so that their end is noticed.
  static constexpr double kMinPerSecond = 0.25;
  // Permits that a bucket accumulates while there is no demand: one, or those
  // of this time at a high rate.
  static constexpr double kBurstSeconds = 0.1;

  // What a report changed in what this VM knows of an instance's limit.
  enum class Change : std::uint8_t {
    kNone,
    kAnnounced,
    kChanged,
    kEnded,
    kMalformed,  // the limit before it, if any, stays
    kCount
  };

  // The name in logs.
  static std::string_view ChangeName(Change change);

  // The latest announcement of an instance.
  struct Announcement {
    AnnouncedRate rate;
    coordination::TimePoint at{};
  };

  explicit RateLimits(std::string self) : self(std::move(self)) {}

  // Sets the VMs of the fleet; this VM need not be among them. Before the first
  // call no permit is issued.
  void SetMembers(std::vector<std::string> vms);

  // Takes the limit from an answer of the instance to a request that was sent
  // at `sent_at`. An answer without a limit ends it, unless the request was
  // sent before the limit was last announced.
  Change OnAnswer(std::string_view instance, const AnnouncedRate& rate,
                  coordination::TimePoint sent_at, coordination::TimePoint now);
  // Takes an announcement that another VM has received, if it is newer than the
  // latest one known here.
  Change OnPeerReport(std::string_view instance,
                      const Announcement& announcement);
  // Null when the instance has announced nothing.
  const Announcement* Find(std::string_view instance) const;
  bool IsLimited(std::string_view instance) const;
  // Whether any instance has announced a limit.
  bool AnyLimited() const { return this->limited_count > 0; }
  // Whether nothing is known of any instance.
  bool Empty() const { return this->states.empty(); }

  // Whether a request may be sent to an instance.
  struct Permission {
    enum class Kind : std::uint8_t {
      kUnlimited,
      kAvailable,  // TakeOwn succeeds
      kAsk,        // `issuer` may grant a permit
      kRefused,    // no permit before `retry_at`
      kCount
    };
    Kind kind = Kind::kUnlimited;
    std::string issuer;
    coordination::TimePoint retry_at{};
  };
  Permission Check(std::string_view instance, coordination::TimePoint now);
  // Takes a permit from this VM's own bucket.
  bool TakeOwn(std::string_view instance, coordination::TimePoint now);

  struct Verdict {
    bool granted = false;
    // Of a refusal: until this VM expects to have the next permit, and until it
    // could serve another request after those that it has refused lately.
    coordination::Duration next_permit{};
    coordination::Duration backlog{};
  };
  // Grants or refuses a permit to another VM. `failover`: that VM got no answer
  // from another issuer.
  Verdict Issue(std::string_view instance, bool failover,
                coordination::TimePoint now);
  // An issuer's verdict on a request of this VM.
  void OnVerdict(std::string_view instance, std::string_view issuer,
                 const Verdict& verdict, coordination::TimePoint now);
  // The issuer did not answer.
  void OnTimeout(std::string_view issuer, coordination::TimePoint now);
  // Whether an issuer of the instance counts as unreachable.
  bool IssuerIsSilent(std::string_view instance, coordination::TimePoint now);
  // Whether this VM issues permits for the instance.
  bool IsIssuer(std::string_view instance);
  // The other VMs that issue permits for the instance.
  std::vector<std::string> OtherIssuers(std::string_view instance);
  // Until the instance could serve another request: the shortest backlog of its
  // issuers.
  coordination::Duration Backlog(std::string_view instance) const;

  // Counts a request that this VM sends to the instance.
  void OnSent(std::string_view instance, coordination::TimePoint now);
  // Drops what was last announced longer than kRetention ago: by instances that
  // are not in `live`, and of ended limits.
  void Prune(const std::set<std::string, std::less<>>& live,
             coordination::TimePoint now);

  struct Stats {
    std::string instance;
    double per_second = 0;  // the limit
    double sent = 0;        // by this VM, in requests a second
    double issued = 0;      // permits a second that this VM may issue
  };
  // Of all upstreams that announce a limit.
  std::vector<Stats> AllStats(coordination::TimePoint now);
  // The latest announcements of all limited instances.
  std::vector<std::pair<std::string, Announcement>> AllLimited() const;

 private:
  // Period over which sends are counted.
  static constexpr coordination::Duration kSendWindow = std::chrono::seconds(4);

  // Token bucket of the permits that this VM issues.
  struct Bucket {
    double tokens = 0;
    coordination::TimePoint filled_at{};  // zero before the first use
    coordination::TimePoint raised_until{};
    std::deque<coordination::TimePoint> refusals;  // in the last second
  };

  // An issuer as this VM sees it, for one instance.
  struct IssuerState {
    std::string vm;
    coordination::TimePoint refused_until{};
    coordination::Duration backlog{};
  };

  struct State {
    Announcement latest;
    bool malformed = false;                     // so was the latest answer
    std::deque<coordination::TimePoint> sends;  // in the last kSendWindow
    Bucket bucket;
    std::vector<IssuerState> issuers;    // in the order in which this VM asks
    std::uint64_t issuers_revision = 0;  // of the members
  };

  struct PeerState {
    std::int64_t timeouts = 0;  // in a row
    coordination::TimePoint silent_until{};
  };

  State* FindState(std::string_view instance);
  const State* FindState(std::string_view instance) const;
  Change Apply(State& state, const Announcement& announcement);
  std::vector<IssuerState>& IssuersOf(std::string_view instance, State& state);
  bool IsSilent(std::string_view vm, coordination::TimePoint now) const;
  // Permits a second that this VM may issue for the instance; 0 when it is no
  // issuer.
  double OwnRate(std::string_view instance, State& state,
                 coordination::TimePoint now);
  // Adds the tokens since the last call. Returns the rate of the bucket.
  double FillBucket(std::string_view instance, State& state,
                    coordination::TimePoint now);

  std::string self;
  std::vector<std::string> members;
  std::uint64_t revision = 0;  // of `members`; 0 before they are known
  std::map<std::string, State, std::less<>> states;
  std::map<std::string, PeerState, std::less<>> peers;
  std::int64_t limited_count = 0;
};

}  // namespace hornbeamspool::policy
