// Tunnels between gateways: a VM that is cut off from all upstreams, while the
// other VMs still reach it, sends its requests through them. Each VM opens
// connections to upstreams for its peers, only directly, so that a tunnel has
// one hop.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/client.h"
#include "http/tunnel_server.h"
#include "policy/tunnel_peers.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::gateway {

class PeerTunnels {
 public:
  // `address` is this VM's own address, as ip:port.
  PeerTunnels(const Context& context, std::string address,
              std::size_t max_tunnels);
  PeerTunnels(const PeerTunnels&) = delete;
  PeerTunnels& operator=(const PeerTunnels&) = delete;

  // Starts to open tunnels for peers. Returns an error message when the address
  // can't be bound, else an empty string.
  std::string Start();

  struct Opened {
    http::OpenResult result;
    std::string vm;  // whose connection to the upstream carries the answer
  };
  // Sends the request to the upstream as http::Client::Open does: directly, or
  // through a peer when this VM is cut off. kNoTunnel when no peer helps,
  // kWithheld when some would, but the upstream takes nothing from them.
  http::Task<Opened> Open(policy::UpstreamEntry upstream, http::Request request,
                          http::FetchOptions options);

  // Tunnels that this VM has open for peers.
  std::size_t OpenTunnels() const { return this->server.Tunnels(); }

  // Probes the upstreams that are due, and logs whether the VM is cut off.
  // Called periodically.
  void Check(coordination::TimePoint now);

 private:
  std::variant<std::string, http::TunnelStatus> Authorize(
      std::string_view request) const;
  std::shared_ptr<const http::Tunnel> Through(const std::string& vm) const;
  bool MaySend(std::string_view vm,
               const policy::UpstreamEntry& upstream) const;
  void OnConnect(const policy::UpstreamEntry& upstream, bool reached);
  http::Task<void> Probe(policy::UpstreamEntry upstream);

  Context context;
  std::string address;
  http::TunnelServer server;
  policy::TunnelPeers peers;
  bool was_cut_off = false;  // as logged
};

}  // namespace hornbeamspool::gateway
