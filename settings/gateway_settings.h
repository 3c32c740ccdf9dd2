// Settings of a gateway: one VM's addresses, and the bounds that its fleet
// keeps.
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
  std::string listen_address;     // of callers
  std::string readiness_address;  // where the balancer asks
  std::string readiness_path;
  std::string store_address;
  std::string peer_address;     // this VM's own, for datagrams between gateways
  std::string metrics_address;  // empty: no metrics page
  std::string log_level;
  std::int64_t descriptors = 4096;  // open files and sockets, at most
  double memory_mb = 256;           // of the process, at most
  double link_mbps = 0;             // of the VM's own link; 0: not known
  // From a stop's signal until the process is killed.
  coordination::Duration shutdown_timeout{};
  // Repeats to a service: at most this share of its requests in any window.
  double retry_share = 0.1;
  double retry_extra = 0;  // of the whole fleet, besides the share; may be
                           // a fraction
  coordination::Duration retry_window{};
  // Longest outage of the store that budgets outlast.
  coordination::Duration bridged_outage{};
};

// Fails with a ValidationErrors.
boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    std::string_view text);

}  // namespace hornbeamspool::settings
