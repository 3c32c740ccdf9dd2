// The other gateways of the fleet, and the choice of VMs for a role by
// rendezvous hashing: for example an organisation's homes, which hold tokens of
// its budget for others to ask for. There are no health checks: a peer that
// does not answer a request is skipped for a backoff time that doubles with
// each timeout in a row.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct Peer {
  std::string vm;
  std::string address;  // ip:port that receives its UDP messages
};

class PeerDirectory {
 public:
  explicit PeerDirectory(std::string self) : self(std::move(self)) {}

  void Put(Peer peer);
  void Remove(std::string_view vm);
  // Replaces the list. Peers whose address is unchanged keep their backoff.
  void Replace(std::vector<Peer> peers);

  void OnAnswer(std::string_view vm);
  void OnTimeout(std::string_view vm, coordination::TimePoint now);

  // The VMs that rendezvous hashing chooses for `key`, best first: at most
  // `max_count`, this VM included. VMs in backoff are left out. An
  // organisation's homes are those for its name.
  std::vector<std::string> VmsFor(std::string_view key, std::size_t max_count,
                                  coordination::TimePoint now) const;
  // All known peers, including those in backoff.
  std::vector<std::string> All() const;
  // Empty when the VM is not known.
  std::string AddressOf(std::string_view vm) const;
  std::size_t Size() const { return this->peers.size(); }

 private:
  struct PeerState {
    std::string address;
    std::int64_t consecutive_timeouts = 0;
    coordination::TimePoint backoff_until{};
  };

  std::string self;
  std::map<std::string, PeerState, std::less<>> peers;
};

}  // namespace hornbeamspool::policy
