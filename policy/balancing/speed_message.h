// What VMs tell each other about upstream instances, which are named by a hash
// of their ids.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "coordination/time.h"
#include "policy/balancing/instance_speed.h"
#include "policy/balancing/upstream_load.h"

namespace hornbeamspool::policy {

// The newest report of an upstream that the sender knows. It may have come from
// another VM; its age counts from the upstream's answer.
struct LoadNotice {
  std::uint64_t instance = 0;
  UpstreamLoad load;  // without `slots`
  coordination::Duration age{};
};

// The sender's own observations of an instance. Peers' reports are not passed
// on, so that a wrong one ends with its sender.
struct SpeedNotice {
  std::uint64_t instance = 0;
  InstanceSpeed::Report report;
};

struct SpeedMessage {
  std::vector<LoadNotice> loads;
  std::vector<SpeedNotice> speeds;

  bool Empty() const { return this->loads.empty() && this->speeds.empty(); }
};

// With these a message has about 1,000 bytes.
inline constexpr std::size_t kMaxLoadNotices = 28;
inline constexpr std::size_t kMaxSpeedNotices = 22;
// Older loads are not passed on.
inline constexpr coordination::Duration kMaxLoadNoticeAge =
    std::chrono::milliseconds(2000);

}  // namespace hornbeamspool::policy
