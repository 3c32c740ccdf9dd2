// Settings of a gateway: the addresses of its VM, its resource limits and the
// limits on retries.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::settings {

struct GatewaySettings {
  std::string vm;
  std::string availability_zone;
  std::string listen_address;     // for callers
  std::string readiness_address;  // for the load balancer's readiness checks
  std::string readiness_path;
  std::string store_address;
  std::string peer_address;  // of this gateway, for UDP datagrams of its peers
  std::string metrics_address;  // empty: metrics are not served
  std::string log_level;
  std::int64_t descriptors = 4096;  // limit on open files and sockets
  double memory_mb = 256;           // memory limit of the process
  double link_mbps = 0;  // bandwidth of the VM's network link; 0: unknown
  // From the signal to stop until the process is killed.
  coordination::Duration shutdown_timeout{};
  // Limit on the retries to one service in any window: this share of its
  // requests, plus `retry_extra` retries of the whole fleet.
  double retry_share = 0.1;
  double retry_extra = 0;  // may be a fraction
  coordination::Duration retry_window{};
  // Longest outage of the store during which budgets can still be spent.
  coordination::Duration bridged_outage{};
};

// Fails with ValidationErrors that hold every error, not only the first.
boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    std::string_view text);

}  // namespace hornbeamspool::settings
