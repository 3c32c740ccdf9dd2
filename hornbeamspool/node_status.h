// Status of this node, published by the router's thread for the operators.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeamspool {

struct UpstreamStatus {
  std::string name;
  std::string service;
  std::string version;
  std::string availability_zone;
  bool leaving = false;
  std::int64_t open_requests = 0;  // from this node
};

struct NodeStatus {
  std::uint64_t config_epoch = 0;
  bool ready = false;
  bool stopping = false;
  std::size_t in_flight = 0;
  std::size_t billing_backlog = 0;  // settlements not yet written
  std::vector<UpstreamStatus> upstreams;
  // Rate limits that instances of upstreams announce, in requests a second.
  std::map<std::string, double, std::less<>> limits;
  // Instances of upstreams that leave or have asked this node for a pause.
  std::set<std::string, std::less<>> withheld;
  std::int64_t fleet_size = 1;  // live nodes
};

}  // namespace hornbeamspool
