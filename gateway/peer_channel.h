// Sends and receives the UDP datagrams between the gateways of a fleet, and
// maintains the table in the platform's store in which they register their
// addresses. Datagrams are authenticated with a key that the first gateway of
// the fleet writes to the store.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/balancing/speed_message.h"
#include "policy/peer_directory.h"
#include "policy/poison_part_record.h"
#include "policy/rate_message.h"
#include "policy/upstream_backoff.h"
#include "transport/backoff_message.h"
#include "transport/budget_message.h"
#include "transport/crash_message.h"
#include "transport/prefill_message.h"

namespace hornbeamspool::gateway {

class PeerChannel {
 public:
  using BackoffNotices = std::span<const policy::UpstreamBackoff::Notice>;

  // Called for messages from peers, on the io_context's thread.
  struct Handlers {
    std::function<void(const transport::BudgetMessage&)> on_budget;
    std::function<void(const transport::CrashMessage&)> on_crash;
    std::function<void(const transport::PrefillMessage&)> on_prefill;
    std::function<void(const policy::RateMessage&)> on_rate;
    std::function<void(std::span<const policy::PoisonPartRecord>)> on_parts;
    std::function<void(const transport::BackoffMessage&)> on_backoff;
    std::function<void(const policy::SpeedMessage&)> on_speed;
  };

  // `address` is this VM's own address, as ip:port.
  PeerChannel(const Context& context, platform::StoreClient& store,
              std::string vm, std::string address, Handlers handlers);
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  // Starts receiving and registers this VM. Returns an error message when the
  // address can't be bound, else an empty string.
  std::string Start();
  // The store was restored from an older copy, where this VM's row and the
  // fleet's key may be missing.
  void OnRestored();
  // Removes this VM from the table, so that peers send their requests to other
  // VMs.
  http::Task<void> Unregister();

  // Returns false when nothing was sent: the peer is unknown, the key has not
  // been read yet, or the socket reported an error.
  bool Send(std::string_view vm, const transport::BudgetMessage& message);
  bool Send(std::string_view vm, const policy::RateMessage& message);
  bool Send(std::string_view vm, BackoffNotices notices);
  // Sends to all known peers.
  void SendToAll(const transport::CrashMessage& message);
  void SendToAll(const policy::RateMessage& message);
  void SendToAll(std::span<const policy::PoisonPartRecord> records,
                 coordination::TimePoint now);
  void SendToAll(BackoffNotices notices);
  // Sends to `count` peers at random.
  void SendToSome(BackoffNotices notices, std::size_t count,
                  std::minstd_rand& random);
  // Sends to `count` peers at random. Returns how many it was sent to.
  std::int64_t SendToSome(const policy::SpeedMessage& message,
                          std::size_t count);
  // Asks `count` peers at random for their notices. Returns how many requests
  // were sent.
  std::size_t SendBackoffQuery(std::size_t count, std::minstd_rand& random);
  // Sends to all known peers, or to a random subset as far as the rate limit
  // allows.
  void SendToRandomPeers(const transport::PrefillMessage& message,
                         coordination::TimePoint now);

  // The text with a MAC that only the fleet's VMs can make.
  std::string Authenticate(std::string_view text) const;
  // Returns the text, a view into `bytes`; empty when the MAC does not match.
  std::optional<std::string_view> Verify(std::string_view bytes) const;

  // Whether the table of gateways has been read.
  bool Ready() const { return this->table_loaded; }

  policy::PeerDirectory& Directory() { return this->directory; }
  const std::string& Vm() const { return this->vm; }

 private:
  http::Task<void> Register();
  http::Task<bool> ReadOrCreateKey();
  http::Task<void> WriteAgain();
  http::Task<bool> WriteKey();
  http::Task<bool> WriteAddress();
  http::Task<void> Receive();
  bool SendDatagram(std::string_view vm, std::string_view datagram);
  void SendAuthenticated(const std::vector<std::string>& peers,
                         std::string_view text);
  std::vector<std::string> RandomPeers(std::size_t count,
                                       std::minstd_rand& random) const;
  void Dispatch(std::string_view payload);
  void ApplyRows(const std::vector<platform::StoreRow>& rows);

  Context context;
  platform::StoreClient* store;
  std::string vm;
  std::string address;
  Handlers handlers;
  policy::PeerDirectory directory;
  platform::TableFollower table;
  std::unique_ptr<http::UdpSocket> socket;
  std::string key;
  std::minstd_rand random;
  // Token bucket: datagrams that SendToRandomPeers may send at send_credit_at.
  double send_credit = 0;
  coordination::TimePoint send_credit_at{};
  bool table_loaded = false;
  bool unregistered = false;
};

}  // namespace hornbeamspool::gateway
