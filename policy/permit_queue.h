// The requests of one router that wait for a permit of a rate-limited upstream,
// and the messages to other VMs by which it obtains them. Does no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/permit_exchange.h"
#include "policy/rate_limits.h"
#include "policy/rate_message.h"

namespace hornbeamspool::policy {

// A message to one VM; to all VMs when `to` is empty.
struct PeerMessage {
  std::string to;
  RateMessage message;
};

// Requests are identified by the numbers that the router gives them.
class PermitQueue {
 public:
  // `seed`: see PermitExchange.
  PermitQueue(std::string self, std::uint64_t seed)
      : limits(self), exchange(this->limits, std::move(self), seed) {}
  PermitQueue(const PermitQueue&) = delete;
  PermitQueue& operator=(const PermitQueue&) = delete;

  RateLimits& Limits() { return this->limits; }
  const RateLimits& Limits() const { return this->limits; }
  // Sets the other VMs of the fleet. Once there are some, asks them for the
  // limits that they know.
  void SetPeers(std::vector<std::string> vms, std::vector<PeerMessage>& out);

  // Asks the issuer for a permit, or waits until there may be one. The request
  // is returned by OnTick or OnMessage later.
  void Ask(std::uint64_t request, const std::string& instance,
           const std::string& issuer, coordination::TimePoint now,
           std::vector<PeerMessage>& out);
  void WaitUntil(std::uint64_t request, coordination::TimePoint until);
  // The request has ended.
  void Forget(std::uint64_t request);

  // Tells the other VMs what an answer has changed.
  void Announce(std::string_view instance, RateLimits::Change change,
                coordination::TimePoint now, std::vector<PeerMessage>& out);

  // A request that goes on: with the permit if `granted` is not empty.
  struct Ready {
    std::uint64_t request = 0;
    std::string granted;  // instance
  };
  // Repeats messages that were not answered, and returns the requests whose
  // waiting time is over.
  std::vector<Ready> OnTick(coordination::TimePoint now,
                            std::vector<PeerMessage>& out);
  struct Received {
    RateLimits::Change change = RateLimits::Change::kNone;
    std::vector<Ready> ready;
  };
  Received OnMessage(const RateMessage& message, coordination::TimePoint now,
                     std::vector<PeerMessage>& out);

 private:
  struct Waiting {
    coordination::TimePoint until{};  // of the wait or of the attempt
    std::string issuer;               // empty: waits without asking
    RateMessage message;
    int attempts = 0;
  };

  RateLimits limits;
  PermitExchange exchange;
  std::map<std::uint64_t, Waiting> waiting;  // by request
  bool queried = false;
};

}  // namespace hornbeamspool::policy
