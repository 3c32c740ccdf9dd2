#include "policy/tunnel_peers.h"

#include <algorithm>
#include <chrono>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

// How long a peer that opened no tunnel is left out.
constexpr coordination::Duration kBackoff = std::chrono::seconds(1);

}  // namespace

std::vector<std::string> TunnelPeers::Choose(std::span<const std::string> peers,
                                             std::string_view upstream,
                                             std::size_t max_count,
                                             coordination::TimePoint now) {
  std::erase_if(this->unavailable,
                [now](const auto& entry) { return entry.second <= now; });
  std::vector<std::string> available;
  for (const std::string& peer : peers) {
    if (peer == this->vm || this->unavailable.contains(peer)) continue;
    available.push_back(peer);
  }
  const std::string key = this->vm + '/' + std::string(upstream);
  const auto weight = [&key](const std::string& peer) {
    return coordination::StableHash(key + '/' + peer);
  };
  std::sort(available.begin(), available.end(),
            [&weight](const std::string& a, const std::string& b) {
              return weight(a) > weight(b);
            });
  if (available.size() > max_count) available.resize(max_count);
  return available;
}

void TunnelPeers::OnUnavailable(std::string_view peer,
                                coordination::TimePoint now) {
  this->unavailable[std::string(peer)] = now + kBackoff;
}

}  // namespace hornbeamspool::policy
