// Requests permits for rate-limited upstreams from the VMs that issue them,
// answers the requests of other VMs, and tells them what upstreams announce.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "policy/gateway_core.h"
#include "policy/permit_exchange.h"
#include "policy/rate_limits.h"
#include "policy/rate_message.h"

namespace hornbeamspool::gateway {

class PermitBroker {
 public:
  // `incarnation` identifies this process.
  PermitBroker(const Context& context, PeerChannel& channel, std::string vm,
               std::uint64_t incarnation);
  PermitBroker(const PermitBroker&) = delete;
  PermitBroker& operator=(const PermitBroker&) = delete;

  // Asks some peers for the limits that they know.
  void Start();
  // Returns whether the issuer granted the permit.
  http::Task<bool> Request(policy::PermitRequest request);
  // Tells the other VMs of a change that an answer to this VM has brought.
  void Announce(std::string_view instance, policy::RateLimits::Change change,
                coordination::TimePoint now);
  // Tells the other VMs of a limit that this VM has just heard of, in a way for
  // limits that most VMs hear of at once: its issuers tell all, the others tell
  // the issuers. `from_peer`: it was heard from another VM.
  void AnnounceByIssuers(std::string_view key, bool from_peer,
                         coordination::TimePoint now);
  // Handles a message of another gateway.
  void OnMessage(const policy::RateMessage& message);

 private:
  // A request for a permit whose verdict is awaited.
  struct PendingRequest {
    http::Timer* timer = nullptr;
    bool answered = false;
    policy::RateLimits::Verdict verdict;
  };

  http::Task<void> QueryPeers();

  Context context;
  PeerChannel* channel;
  policy::PermitExchange exchange;
  std::map<std::uint64_t, PendingRequest> pending;  // by message id
};

}  // namespace hornbeamspool::gateway
