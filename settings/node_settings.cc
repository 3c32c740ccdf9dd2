#include "settings/node_settings.h"

#include <algorithm>
#include <string>

#include "settings/json_text.h"
#include "settings/log_level.h"
#include "settings/object_reader.h"

namespace hornbeamspool::settings {
namespace {

constexpr IntegerRange kMilliseconds{1, 24LL * 3600 * 1000};
constexpr std::int64_t kMaxBodyBytes = 256LL * 1024 * 1024;
constexpr std::size_t kMinPeerKeyBytes = 16;

coordination::Duration MillisecondsOr(ObjectReader& reader,
                                      std::string_view key,
                                      std::int64_t fallback) {
  return std::chrono::milliseconds(
      reader.IntegerOr(key, kMilliseconds, fallback));
}

void ReadCallers(ObjectReader& reader, CallerSettings& callers) {
  callers.address = reader.Address("address");
  callers.header_timeout = MillisecondsOr(reader, "header_timeout_ms", 10'000);
  callers.body_timeout = MillisecondsOr(reader, "body_timeout_ms", 30'000);
  callers.idle_timeout = MillisecondsOr(reader, "idle_timeout_ms", 75'000);
  callers.write_timeout = MillisecondsOr(reader, "write_timeout_ms", 60'000);
  callers.header_bytes =
      reader.IntegerOr("header_bytes", IntegerRange{1024, 1 << 20}, 16 * 1024);
  callers.body_bytes = reader.IntegerOr(
      "body_bytes", IntegerRange{1024, kMaxBodyBytes}, 4 * 1024 * 1024);
  callers.max_connections =
      reader.IntegerOr("max_connections", IntegerRange{1, 1'000'000}, 20'000);
  callers.max_in_flight =
      reader.IntegerOr("max_in_flight", IntegerRange{1, 100'000}, 8192);
}

void ReadPeers(ObjectReader& reader, PeerSettings& peers) {
  peers.address = reader.Address("address");
  peers.key = reader.String("key");
  if (!peers.key.empty() && peers.key.size() < kMinPeerKeyBytes) {
    reader.AddError("key", "must hold at least 16 bytes");
  }
  peers.heartbeat = MillisecondsOr(reader, "heartbeat_ms", 500);
  peers.fanout = reader.IntegerOr("fanout", IntegerRange{1, 64}, 4);
}

void ReadPlatform(ObjectReader& reader, PlatformSettings& platform) {
  platform.store = reader.Address("store");
  platform.timeout = MillisecondsOr(reader, "timeout_ms", 1'000);
  platform.poll = MillisecondsOr(reader, "poll_ms", 1'000);
}

// A request at the limit needs its body while it grows, what is parsed of it,
// and the request to the upstream, in the part of the memory that callers have.
void ReadMemory(ObjectReader& reader, NodeSettings& node) {
  constexpr double kMemoryPerBody = 10;
  constexpr double kBytesPerMb = 1 << 20;
  constexpr double kMinMemoryMb = 32;
  constexpr double kMaxMemoryMb = 1e6;
  constexpr double kDefaultMb = 256;
  const double needed = kMemoryPerBody *
                        static_cast<double>(node.callers.body_bytes) /
                        kBytesPerMb;
  const double memory_mb = reader.NumberOr(
      "memory_mb", kMinMemoryMb, kMaxMemoryMb, std::max(kDefaultMb, needed));
  node.callers.process_memory_bytes =
      static_cast<std::int64_t>(memory_mb * kBytesPerMb);
  if (memory_mb < needed) {
    reader.AddError("memory_mb",
                    "memory_mb must be at least 10 times callers.body_bytes, "
                    "which is " +
                        std::to_string(node.callers.body_bytes));
  }
}

}  // namespace

boost::leaf::result<NodeSettings> ParseNodeSettings(std::string_view text) {
  BOOST_LEAF_AUTO(document, ParseJsonText(text));
  NodeSettings node;
  SettingsErrorList errors;
  {
    ObjectReader root(document, "", errors);
    if (root.String("kind") != "node") root.AddError("kind", "must be node");
    node.name = root.String("name");
    node.region = root.String("region");
    node.availability_zone = root.String("availability_zone");
    root.Member("callers",
                [&](ObjectReader& r) { ReadCallers(r, node.callers); });
    root.Member("operators", [&](ObjectReader& r) {
      node.operators.address = r.Address("address");
      node.operators.key_sha256 = r.String("key_sha256");
    });
    root.Member("peers", [&](ObjectReader& r) { ReadPeers(r, node.peers); });
    root.Member("platform",
                [&](ObjectReader& r) { ReadPlatform(r, node.platform); });
    ReadMemory(root, node);
    node.log_level = ReadLogLevel(root);
    node.drain_timeout = MillisecondsOr(root, "drain_timeout_ms", 600'000);
  }
  if (!errors.empty()) return boost::leaf::new_error(std::move(errors));
  return node;
}

}  // namespace hornbeamspool::settings
