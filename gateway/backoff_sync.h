// Records which upstreams leave, or have asked a VM for a pause, as their
// answers say, and logs it.
#pragma once

#include <string_view>

#include "coordination/time.h"
#include "gateway/context.h"

namespace hornbeamspool::policy {
struct AnnouncedBackoff;
struct UpstreamEntry;
}  // namespace hornbeamspool::policy

namespace hornbeamspool::gateway {

class BackoffSync {
 public:
  explicit BackoffSync(const Context& context) : context(context) {}
  BackoffSync(const BackoffSync&) = delete;
  BackoffSync& operator=(const BackoffSync&) = delete;

  // Takes what the answer to a request that was sent at `sent_at` says; `vm` is
  // the VM whose connection carried it.
  void OnAnswer(const policy::UpstreamEntry& upstream, std::string_view vm,
                const policy::AnnouncedBackoff& announced,
                coordination::TimePoint sent_at, coordination::TimePoint now);

 private:
  Context context;
};

}  // namespace hornbeamspool::gateway
