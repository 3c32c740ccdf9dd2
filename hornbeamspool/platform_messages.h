// Messages to the router's thread from the threads of the platform and of the
// peers.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "policy/announced_rate.h"
#include "policy/fleet_config.h"
#include "policy/messages.h"
#include "policy/permit_queue.h"
#include "policy/poison_part_record.h"
#include "policy/rate_message.h"
#include "policy/table_messages.h"
#include "policy/upstream_set.h"

namespace hornbeamspool {

// A newer configuration, read from the platform and validated.
struct ConfigUpdate {
  std::uint64_t epoch = 0;
  policy::FleetConfig config;
};

// The complete list of upstreams. Replaces the list of the previous update.
struct UpstreamListUpdate {
  std::vector<policy::ListedUpstream> upstreams;
};

// The load that one upstream reports.
struct LoadUpdate {
  policy::LoadReport report;
  policy::UpstreamAnswer answer;
};

using PlatformMessage = std::variant<policy::TableReply, ConfigUpdate,
                                     UpstreamListUpdate, LoadUpdate>;

// Summary of the membership view, which is built from heartbeats.
struct MembershipUpdate {
  std::int64_t alive_members = 0;  // including this node
  std::uint64_t newest_epoch = 0;  // highest config epoch of any member
  std::vector<std::string> peers;  // names of the members that don't leave
};

using PartRecords = std::vector<policy::PoisonPartRecord>;

using PeerUpdate =
    std::variant<MembershipUpdate, policy::RateMessage, PartRecords>;

// What the router sends to other nodes; records go to all.
using PeerOutput = std::variant<policy::PeerMessage, PartRecords>;

}  // namespace hornbeamspool
