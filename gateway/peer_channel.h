// The gateways' datagrams to each other, and the table by which they find each
// other in the platform's store. Datagrams are sealed with a key that the
// first gateway of the fleet leaves in the store.
#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "policy/peer_directory.h"
#include "transport/budget_message.h"
#include "transport/crash_message.h"
#include "transport/prefill_message.h"

namespace hornbeamspool::gateway {

class PeerChannel {
 public:
  // What comes from peers. All calls come from the io_context's thread.
  struct Receivers {
    std::function<void(const transport::BudgetMessage&)> on_budget;
    std::function<void(const transport::CrashMessage&)> on_crash;
    std::function<void(const transport::PrefillMessage&)> on_prompt;
  };

  // `address` is this VM's own, ip:port.
  PeerChannel(const Context& context, platform::StoreClient& store,
              std::string vm, std::string address, Receivers receivers);
  PeerChannel(const PeerChannel&) = delete;
  PeerChannel& operator=(const PeerChannel&) = delete;

  // Returns a fault's text when the address can't be bound.
  std::string Start();
  // Takes this VM out of the table, so that peers ask others.
  http::Task<void> Leave();

  // False when the peer is not known or the key has not been read.
  bool Send(std::string_view vm, const transport::BudgetMessage& message);
  void SendToAll(const transport::CrashMessage& message);
  // Sends to all peers, or to some of them when there was much to send lately.
  void SendToSome(const transport::PrefillMessage& message,
                  coordination::TimePoint now);

  // The table of the gateways was read.
  bool Ready() const { return this->known; }

  policy::PeerDirectory& Directory() { return this->directory; }
  const std::string& Vm() const { return this->vm; }

 private:
  http::Task<void> Register();
  http::Task<bool> LearnKey();
  http::Task<bool> Announce();
  http::Task<void> Receive();
  bool SendSealed(std::string_view vm, std::string_view datagram);
  void SendTo(const std::vector<std::string>& peers, std::string_view text);
  void Dispatch(std::string_view payload);
  void OnRows(const std::vector<platform::StoreRow>& rows);

  Context context;
  platform::StoreClient* store;
  std::string vm;
  std::string address;
  Receivers receivers;
  policy::PeerDirectory directory;
  platform::TableFollower table;
  std::unique_ptr<http::UdpSocket> socket;
  std::string key;
  std::minstd_rand random;
  // Datagrams that SendToSome may send now.
  double allowance = 0;
  coordination::TimePoint allowance_at{};
  bool known = false;
  bool leaving = false;
};

}  // namespace hornbeamspool::gateway
