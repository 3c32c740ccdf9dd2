// The gateways of a fleet, and which of them keep an organisation's tokens.
// Peers are found dead by use: one that does not answer is left out for a
// while, longer each time, and asked again after.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct Peer {
  std::string vm;
  std::string address;  // ip:port of its datagrams
};

class PeerDirectory {
 public:
  explicit PeerDirectory(std::string self) : self(std::move(self)) {}

  void Put(Peer peer);
  void Remove(std::string_view vm);
  // All peers that there are.
  void Replace(std::vector<Peer> peers);

  void OnAnswer(std::string_view vm);
  void OnTimeout(std::string_view vm, coordination::TimePoint now);

  // The VMs that keep the organisation's tokens, the first choice first: at
  // most `most`, and this VM counts as one.
  std::vector<std::string> HomesOf(std::string_view organisation,
                                   std::size_t most,
                                   coordination::TimePoint now) const;
  // All peers that are known, silent ones too.
  std::vector<std::string> All() const;
  // Empty when the VM is not known.
  std::string AddressOf(std::string_view vm) const;
  std::size_t Size() const { return this->peers.size(); }

 private:
  struct Known {
    std::string address;
    std::int64_t silences = 0;  // in a row
    coordination::TimePoint silent_until{};
  };

  std::string self;
  std::map<std::string, Known, std::less<>> peers;
};

}  // namespace hornbeamspool::policy
