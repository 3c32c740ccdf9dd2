#include "policy/warmup/warm_preference.h"

#include <optional>

#include "policy/upstream_selector.h"
#include "policy/warmup/cold_upstreams.h"

namespace hornbeamspool::policy {

bool PreferWarm(const ColdUpstreams& cold, const UpstreamSelector& selector,
                std::vector<const UpstreamEntry*>& upstreams,
                coordination::TimePoint now) {
  if (!cold.Any()) return false;
  const auto is_cold = [&](const UpstreamEntry* upstream) {
    return cold.IsCold(upstream->InstanceId(), now);
  };
  bool unknown = false;
  bool spare = false;
  bool full = false;
  for (const UpstreamEntry* upstream : upstreams) {
    if (is_cold(upstream)) continue;
    const std::optional<bool> has_room =
        selector.HasSpareCapacity(*upstream, now);
    unknown = unknown || !has_room;
    spare = spare || has_room.value_or(false);
    full = full || !has_room.value_or(true);
  }
  const bool has_room = spare || (unknown && !full);
  if (has_room) std::erase_if(upstreams, is_cold);
  return has_room;
}

}  // namespace hornbeamspool::policy
