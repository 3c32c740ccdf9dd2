// Records which upstreams leave, or have asked a VM for a pause, and shares it
// with the other gateways. That an upstream leaves is repeated to random peers,
// so that lost datagrams and gateways that start later don't matter.
#pragma once

#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "policy/upstream_backoff.h"

namespace hornbeamspool::policy {
struct AnnouncedBackoff;
struct UpstreamEntry;
}  // namespace hornbeamspool::policy
namespace hornbeamspool::transport {
struct BackoffMessage;
}

namespace hornbeamspool::gateway {

class BackoffSync {
 public:
  explicit BackoffSync(const Context& context);
  BackoffSync(const BackoffSync&) = delete;
  BackoffSync& operator=(const BackoffSync&) = delete;

  // Starts to ask peers for what they know.
  void Start();

  // Takes what the answer to a request that was sent at `sent_at` says; `vm` is
  // the VM whose connection carried it.
  void OnAnswer(const policy::UpstreamEntry& upstream, std::string_view vm,
                const policy::AnnouncedBackoff& announced,
                coordination::TimePoint sent_at, coordination::TimePoint now);
  void OnMessage(const transport::BackoffMessage& message,
                 coordination::TimePoint now);
  // Repeats to some peers which upstreams leave. Called periodically.
  void RepeatNotices(coordination::TimePoint now);

 private:
  using Notice = policy::UpstreamBackoff::Notice;

  http::Task<void> QueryPeers();
  // Tells all peers of a pause, several times.
  http::Task<void> AnnouncePause(Notice notice, coordination::TimePoint end);
  void SetLeaving(std::string_view upstream, const Notice& notice,
                  std::string_view source, coordination::TimePoint now);
  void SetPause(std::string_view upstream, const Notice& notice,
                std::string_view source, coordination::TimePoint now);

  Context context;
  std::minstd_rand random;
};

}  // namespace hornbeamspool::gateway
