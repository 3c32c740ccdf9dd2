#include "settings/gateway_settings.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

#include "settings/json_text.h"
#include "settings/log_level.h"
#include "settings/object_reader.h"

namespace hornbeamspool::settings {
namespace {

constexpr double kMaxSeconds = 3600;
constexpr double kMaxLinkMbps = 1e6;
constexpr double kMinMemoryMb = 32;
constexpr double kMaxMemoryMb = 1e6;
constexpr double kMaxRetryExtra = 1e6;
constexpr double kMaxExposureExtra = 1e6;
constexpr double kMaxWarmupOverage = 100;
constexpr double kMaxWarmupSlack = 1e6;
constexpr double kMinDescriptors = 256;
constexpr double kMaxDescriptors = 1e6;

coordination::Duration SecondsOr(ObjectReader& reader, std::string_view key,
                                 double fallback) {
  return std::chrono::duration_cast<coordination::Duration>(
      std::chrono::duration<double>(
          reader.NumberOr(key, 0, kMaxSeconds, fallback)));
}

// File descriptors for files, the store, peers and the load balancer.
constexpr std::int64_t kReservedDescriptors = 200;
constexpr std::int64_t kMinConnections = 16;
constexpr double kMinClientMemoryMb = 1;
constexpr std::int64_t kMaxFramingBytes = 1 << 30;

// A request may need a connection to an upstream in addition to the caller's.
std::int64_t MaxConnections(std::int64_t descriptors) {
  return std::max(kMinConnections, (descriptors - kReservedDescriptors) / 2);
}

void ReadClients(ObjectReader& reader, GatewaySettings& gateway) {
  ClientSettings& clients = gateway.clients;
  clients.memory_mb =
      reader.NumberOr("memory_mb", kMinClientMemoryMb, kMaxMemoryMb, 0);
  if (clients.memory_mb > gateway.memory_mb / 2) {
    reader.AddError("memory_mb",
                    "clients.memory_mb must be at most half of memory_mb, "
                    "which is " +
                        std::to_string(gateway.memory_mb));
  }
  const std::int64_t most = MaxConnections(gateway.descriptors);
  constexpr IntegerRange kCount{1, 1'000'000};
  clients.max_connections = reader.IntegerOr("max_connections", kCount, most);
  if (clients.max_connections > most) {
    reader.AddError("max_connections",
                    "clients.max_connections must be at most " +
                        std::to_string(most) + " with descriptors of " +
                        std::to_string(gateway.descriptors));
  }
  clients.max_connections_per_address = reader.IntegerOr(
      "max_connections_per_address", kCount, clients.max_connections);
  if (clients.max_connections_per_address > clients.max_connections) {
    reader.AddError("max_connections_per_address",
                    "clients.max_connections_per_address must be at most "
                    "clients.max_connections, which is " +
                        std::to_string(clients.max_connections));
  }
  clients.body_timeout = SecondsOr(reader, "body_timeout_s", 30);
  clients.progress_timeout = SecondsOr(reader, "progress_timeout_s", 15);
  if (clients.progress_timeout > clients.body_timeout) {
    reader.AddError("progress_timeout_s",
                    "clients.progress_timeout_s must be at most "
                    "clients.body_timeout_s");
  }
  clients.framing_bytes = reader.IntegerOr(
      "framing_bytes", IntegerRange{1024, kMaxFramingBytes}, 64 * 1024);
}

}  // namespace

boost::leaf::result<GatewaySettings> ParseGatewaySettings(
    std::string_view text) {
  BOOST_LEAF_AUTO(document, ParseJsonText(text));
  GatewaySettings gateway;
  SettingsErrorList errors;
  {
    ObjectReader root(document, "", errors);
    if (root.String("kind") != "gateway") {
      root.AddError("kind", "must be gateway");
    }
    gateway.vm = root.String("vm");
    gateway.availability_zone = root.String("availability_zone");
    gateway.listen_address = root.Address("listen");
    gateway.store_address = root.Address("store");
    gateway.peer_address = root.Address("peers");
    root.Member("readiness", [&](ObjectReader& r) {
      gateway.readiness_address = r.Address("address");
      gateway.readiness_path = r.String("path");
    });
    if (root.Has("metrics")) gateway.metrics_address = root.Address("metrics");
    root.Member("retries", [&](ObjectReader& r) {
      gateway.retry_share = r.NumberOr("share", 0, 1, 0.1);
      gateway.retry_extra = r.NumberOr("extra", 0, kMaxRetryExtra, 0);
      gateway.retry_window = SecondsOr(r, "window_s", 10);
    });
    root.Member("rollouts", [&](ObjectReader& r) {
      gateway.exposure_share = r.NumberOr("share", 0, 1, 0.1);
      gateway.exposure_extra = r.NumberOr("extra", 0, kMaxExposureExtra, 50);
    });
    root.Member("warmup", [&](ObjectReader& r) {
      gateway.warmup_overage = r.NumberOr("overage", 0, kMaxWarmupOverage, 1.5);
      gateway.warmup_slack = r.NumberOr("slack", 0, kMaxWarmupSlack, 5);
    });
    gateway.shutdown_timeout = SecondsOr(root, "stop_s", 8);
    gateway.bridged_outage = SecondsOr(root, "bridged_outage_s", 10);
    gateway.memory_mb = root.NumberOr("memory_mb", kMinMemoryMb, kMaxMemoryMb,
                                      gateway.memory_mb);
    gateway.link_mbps = root.NumberOr("link_mbps", 0, kMaxLinkMbps, 0);
    root.Member("overload", [&](ObjectReader& r) {
      constexpr std::array<std::string_view, 2> kModes{"off", "priority"};
      gateway.overload_by_priority = r.ChoiceOr("mode", kModes, 0) == 1;
    });
    gateway.descriptors = static_cast<std::int64_t>(
        root.NumberOr("descriptors", kMinDescriptors, kMaxDescriptors, 4096));
    root.Member("clients", [&](ObjectReader& r) { ReadClients(r, gateway); });
    gateway.log_level = ReadLogLevel(root);
  }
  if (!errors.empty()) return boost::leaf::new_error(std::move(errors));
  return gateway;
}

}  // namespace hornbeamspool::settings
