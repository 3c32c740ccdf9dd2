// Chooses the VMs through which a VM that is cut off from the upstreams sends
// its requests. Those that open no tunnel are left out for a while.
#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class TunnelPeers {
 public:
  explicit TunnelPeers(std::string vm) : vm(std::move(vm)) {}

  // At most `max_count` of `peers`, best first. The order depends on the
  // upstream and on this VM, so that tunnels spread over the peers and
  // connections are used again.
  std::vector<std::string> Choose(std::span<const std::string> peers,
                                  std::string_view upstream,
                                  std::size_t max_count,
                                  coordination::TimePoint now);
  // The peer is unreachable, or opens no tunnel at present.
  void OnUnavailable(std::string_view peer, coordination::TimePoint now);

 private:
  std::string vm;  // this one
  // Until when peers are left out.
  std::map<std::string, coordination::TimePoint, std::less<>> unavailable;
};

}  // namespace hornbeamspool::policy
