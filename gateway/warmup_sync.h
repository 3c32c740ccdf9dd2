// Takes what the registry and other VMs say of cold upstreams, tells the other
// VMs, and logs when an upstream becomes cold or warm.
#pragma once

#include <span>
#include <string_view>

#include "coordination/time.h"
#include "gateway/context.h"
#include "policy/rate_message.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::gateway {

class WarmupSync {
 public:
  explicit WarmupSync(const Context& context) : context(context) {}
  WarmupSync(const WarmupSync&) = delete;
  WarmupSync& operator=(const WarmupSync&) = delete;

  // Takes entries that were read from the registry.
  void OnRegistered(std::span<const policy::UpstreamEntry> entries,
                    coordination::TimePoint now);
  // A message on the limit of a cold instance, which RateLimits has taken.
  void OnMessage(const policy::RateMessage& message,
                 coordination::TimePoint now);
  // Logs the upstreams that have become warm, and updates the counters.
  void Expire(coordination::TimePoint now);

 private:
  void OnCold(std::string_view instance, std::string_view source,
              bool from_peer, coordination::TimePoint now);

  Context context;
};

}  // namespace hornbeamspool::gateway
