// Settings of one node, a router process: its own addresses, its
// availability zone and the address of the platform's store.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::settings {

// The HTTP server for callers.
struct CallerSettings {
  std::string address;
  coordination::Duration header_timeout{};
  coordination::Duration body_timeout{};
  coordination::Duration idle_timeout{};
  coordination::Duration write_timeout{};
  std::int64_t header_bytes = 0;  // limit for one request
  std::int64_t body_bytes = 0;    // limit for one request
  std::int64_t max_connections = 0;
  std::int64_t max_in_flight = 0;
  // Memory limit of the process, of which callers have a part.
  std::int64_t process_memory_bytes = std::int64_t{256} << 20U;
};

// The HTTP server for operators.
struct OperatorSettings {
  std::string address;
  std::string key_sha256;  // hash of the operators' bearer key, in hexadecimal
};

// Heartbeats between routers.
struct PeerSettings {
  std::string address;  // UDP
  std::string key;      // shared by all peers; authenticates heartbeats
  coordination::Duration heartbeat{};  // interval
  std::int64_t fanout = 0;             // peers that each heartbeat is sent to
};

struct PlatformSettings {
  std::string store;                 // ip:port of the platform's store
  coordination::Duration timeout{};  // of a call to the store
  coordination::Duration poll{};     // interval of reads of the store
};

struct NodeSettings {
  std::string name;
  std::string region;
  std::string availability_zone;
  CallerSettings callers;
  OperatorSettings operators;
  PeerSettings peers;
  PlatformSettings platform;
  std::string log_level;
  coordination::Duration drain_timeout{};  // longest graceful shutdown
};

// On failure loads a SettingsErrorList with all errors.
boost::leaf::result<NodeSettings> ParseNodeSettings(std::string_view text);

}  // namespace hornbeamspool::settings
