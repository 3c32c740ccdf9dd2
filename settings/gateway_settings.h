// Settings of a gateway: the addresses of its VM, and the limits of its process
// and its fleet.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::settings {

// What the connections of callers may use. What the settings don't name is
// derived from the memory and the descriptors of the process.
struct ClientSettings {
  double memory_mb = 0;  // for requests and answers; 0: derived
  std::int64_t max_connections = 0;
  std::int64_t max_connections_per_address = 0;
  coordination::Duration body_timeout{};
  coordination::Duration progress_timeout{};  // without any byte
  std::int64_t framing_bytes = 0;             // of a chunked body
};

struct GatewaySettings {
  std::string vm;
  std::string availability_zone;
  std::string listen_address;     // for callers
  std::string readiness_address;  // for the load balancer's health checks
  std::string readiness_path;
  std::string store_address;
  std::string peer_address;     // this VM's, for datagrams between gateways
  std::string metrics_address;  // empty disables the metrics endpoint
  std::string log_level;
  std::int64_t descriptors = 4096;  // limit on open files and sockets
  double memory_mb = 256;           // memory limit of the process
  ClientSettings clients;
  double link_mbps = 0;  // bandwidth of the VM's link; 0 when unknown
  // Whether requests yield by priority and share when capacity is short.
  bool overload_by_priority = false;
  // Time from the termination signal until the process is killed.
  coordination::Duration shutdown_timeout{};
  // Limits on the retries to a service, see policy::RetryLimits.
  double retry_share = 0.1;  // retries per request, in any window
  double retry_extra = 0;    // further retries of the whole fleet per window;
                             // may be a fraction
  coordination::Duration retry_window{};
  // Limit on the requests that a bad version may get, see
  // policy::ExposureLimit.
  double exposure_share = 0.1;
  double exposure_extra = 50;
  // Bound on the requests to a cold upstream, see policy::WarmupBound.
  double warmup_overage = 1.5;
  double warmup_slack = 5;
  // Longest outage of the store during which budgets can still be spent.
  coordination::Duration bridged_outage{};
};

// On failure loads a SettingsErrorList with all errors.
boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    std::string_view text);

}  // namespace hornbeamspool::settings
