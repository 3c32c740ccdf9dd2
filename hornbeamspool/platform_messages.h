// Messages to the thread of the decisions from the platform and the peers.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "policy/fleet_config.h"
#include "policy/table_messages.h"
#include "policy/upstream_set.h"

namespace hornbeamspool {

// A configuration that was read from the platform and checked.
struct ConfigUpdate {
  std::uint64_t epoch = 0;
  policy::FleetConfig config;
};

struct UpstreamListUpdate {
  std::vector<policy::ListedUpstream> upstreams;
};

struct LoadUpdate {
  policy::LoadReport report;
};

using PlatformMessage = std::variant<policy::TableReply, ConfigUpdate,
                                     UpstreamListUpdate, LoadUpdate>;

// What the peers' heartbeats tell.
struct MembershipUpdate {
  std::int64_t alive = 0;  // members alive, this node among them
  std::uint64_t newest_epoch = 0;
};

}  // namespace hornbeamspool
