// The messages by which VMs tell each other of upstreams' rate limits, and
// request permits. Does no I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/time.h"
#include "policy/rate_limits.h"
#include "policy/rate_message.h"

namespace hornbeamspool::policy {

class PermitExchange {
 public:
  // A permit request is sent again after this timeout, up to this many times in
  // all; then its issuer counts as silent. A round trip within a region takes
  // 3 ms.
  static constexpr coordination::Duration kRequestTimeout =
      std::chrono::milliseconds(25);
  static constexpr int kRequestAttempts = 2;

  // `seed` distinguishes the ids of messages from those of other processes.
  PermitExchange(RateLimits& limits, std::string self, std::uint64_t seed)
      : limits(&limits), self(std::move(self)), next_id(seed) {}

  RateMessage MakeRequest(std::string_view instance,
                          coordination::TimePoint now);
  RateMessage MakeQuery();

  // Whom to tell of a change that an answer to this VM has brought.
  enum class Audience : std::uint8_t { kNobody, kIssuers, kAll, kCount };
  Audience AudienceOf(std::string_view instance, RateLimits::Change change,
                      coordination::TimePoint now);
  RateMessage MakeAnnouncement(std::string_view instance,
                               coordination::TimePoint now);

  // What a message from another VM brought.
  struct Received {
    RateLimits::Change change = RateLimits::Change::kNone;
    std::vector<RateMessage> replies;  // to its sender
  };
  Received OnMessage(const RateMessage& message, coordination::TimePoint now);

  static RateLimits::Verdict VerdictOf(const RateMessage& message);

 private:
  RateMessage NewMessage(RateMessageKind kind, std::string_view instance,
                         coordination::TimePoint now);
  RateMessage ReplyTo(const RateMessage& request, coordination::TimePoint now);

  RateLimits* limits;
  std::string self;
  std::uint64_t next_id;
  // Verdicts that are sent again when their request arrives again.
  std::deque<RateMessage> recent_verdicts;
  // The rate that issuers were last told, by instance, and when.
  std::map<std::string, std::pair<double, coordination::TimePoint>, std::less<>>
      told;
};

}  // namespace hornbeamspool::policy
