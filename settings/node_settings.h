// Settings of one node: its own addresses, its availability zone and the
// address of the platform's store.
#pragma once

#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::settings {

struct CallerSettings {
  std::string address;
  coordination::Duration header_timeout{};
  coordination::Duration body_timeout{};
  coordination::Duration idle_timeout{};
  coordination::Duration write_timeout{};
  std::int64_t header_bytes = 0;  // of a request, at most
  std::int64_t body_bytes = 0;    // of a request, at most
  std::int64_t max_connections = 0;
  std::int64_t max_in_flight = 0;
};

struct OperatorSettings {
  std::string address;
  std::string key_sha256;  // of the operators' bearer key
};

struct PeerSettings {
  std::string address;  // UDP
  std::string key;      // shared by all peers; authenticates heartbeats
  coordination::Duration heartbeat{};
  std::int64_t fanout = 0;  // peers that each heartbeat is sent to
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
