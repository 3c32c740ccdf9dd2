// Requests permits for rate-limited upstreams from the VMs that issue them,
// answers the requests of other VMs, and tells them what upstreams announce.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <utility>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "policy/gateway_core.h"
#include "policy/rate_limits.h"
#include "transport/rate_message.h"

namespace hornbeamspool::gateway {

class PermitBroker {
 public:
  PermitBroker(const Context& context, PeerChannel& channel);
  PermitBroker(const PermitBroker&) = delete;
  PermitBroker& operator=(const PermitBroker&) = delete;

  // Asks some peers for the limits that they know.
  void Start();
  // Returns whether the issuer granted the permit.
  http::Task<bool> Request(policy::PermitRequest request);
  // Tells the other VMs of a change that an answer to this VM has brought.
  void Announce(std::string_view instance, policy::RateLimits::Change change,
                coordination::TimePoint now);
  // Handles a message of another gateway.
  void OnMessage(const transport::RateMessage& message);

 private:
  // A request for a permit whose verdict is awaited.
  struct PendingRequest {
    http::Timer* timer = nullptr;
    bool answered = false;
    policy::RateLimits::Verdict verdict;
  };

  http::Task<void> QueryPeers();
  transport::RateMessage NewMessage(transport::RateMessageKind kind,
                                    std::string_view instance,
                                    coordination::TimePoint now);
  void ApplyReport(const transport::RateMessage& message,
                   coordination::TimePoint now);
  void ReplyToRequest(const transport::RateMessage& request,
                      coordination::TimePoint now);
  void ReplyToQuery(const transport::RateMessage& query,
                    coordination::TimePoint now);
  void OnVerdict(const transport::RateMessage& verdict);

  Context context;
  PeerChannel* channel;
  std::mt19937_64 random;
  std::map<std::uint64_t, PendingRequest> pending;  // by id
  // Verdicts that are sent again when their request arrives again.
  std::deque<transport::RateMessage> recent_verdicts;
  // The rate that issuers were last told, by instance, and when.
  std::map<std::string, std::pair<double, coordination::TimePoint>, std::less<>>
      told;
};

}  // namespace hornbeamspool::gateway
