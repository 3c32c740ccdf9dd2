#include "policy/peer_directory.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

// Backoff after the first timeout; doubles up to this many times.
constexpr coordination::Duration kInitialBackoff =
    std::chrono::milliseconds(500);
constexpr std::int64_t kMaxDoublings = 4;

}  // namespace

void PeerDirectory::Put(Peer peer) {
  if (peer.vm == this->self) return;
  PeerState& state = this->peers[peer.vm];
  if (state.address != peer.address) state = PeerState{};
  state.address = std::move(peer.address);
}

void PeerDirectory::Remove(std::string_view vm) {
  const auto found = this->peers.find(vm);
  if (found != this->peers.end()) this->peers.erase(found);
}

void PeerDirectory::Replace(std::vector<Peer> peers) {
  std::set<std::string, std::less<>> present;
  for (Peer& peer : peers) {
    present.insert(peer.vm);
    this->Put(std::move(peer));
  }
  std::erase_if(this->peers, [&present](const auto& entry) {
    return !present.contains(entry.first);
  });
}

std::vector<std::string> PeerDirectory::All() const {
  std::vector<std::string> all;
  for (const auto& [vm, state] : this->peers) all.push_back(vm);
  return all;
}

void PeerDirectory::OnAnswer(std::string_view vm) {
  const auto found = this->peers.find(vm);
  if (found == this->peers.end()) return;
  found->second.consecutive_timeouts = 0;
  found->second.backoff_until = {};
}

void PeerDirectory::OnTimeout(std::string_view vm,
                              coordination::TimePoint now) {
  const auto found = this->peers.find(vm);
  if (found == this->peers.end()) return;
  const auto doublings = static_cast<unsigned>(
      std::min(found->second.consecutive_timeouts++, kMaxDoublings));
  found->second.backoff_until = now + kInitialBackoff * (1U << doublings);
}

std::vector<std::string> PeerDirectory::VmsFor(
    std::string_view key, std::size_t max_count,
    coordination::TimePoint now) const {
  const std::uint64_t seed = coordination::StableHash(key);
  std::vector<std::pair<std::uint64_t, std::string_view>> ranked;
  ranked.emplace_back(coordination::StableHash(this->self, seed), this->self);
  for (const auto& [vm, state] : this->peers) {
    if (state.backoff_until > now) continue;
    ranked.emplace_back(coordination::StableHash(vm, seed), vm);
  }
  std::sort(ranked.rbegin(), ranked.rend());
  std::vector<std::string> chosen;
  for (const auto& [score, vm] : ranked) {
    if (chosen.size() == max_count) break;
    chosen.emplace_back(vm);
  }
  return chosen;
}

std::string PeerDirectory::AddressOf(std::string_view vm) const {
  const auto found = this->peers.find(vm);
  return found == this->peers.end() ? std::string() : found->second.address;
}

}  // namespace hornbeamspool::policy
