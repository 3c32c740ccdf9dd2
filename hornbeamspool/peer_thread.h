// The thread that exchanges heartbeats with the other routers over UDP.
#pragma once

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "coordination/member_view.h"
#include "hornbeamspool/fault_report.h"
#include "hornbeamspool/io_wakeup.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/platform_thread.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/spsc_queue.h"
#include "http/task.h"
#include "policy/permit_queue.h"
#include "settings/node_settings.h"
#include "transport/heartbeat.h"

namespace hornbeamspool {

// Gossips membership: sends authenticated heartbeats to random peers, with a
// sample of the members that this node knows, and maintains a membership
// view from the heartbeats that it receives.
class PeerThread {
 public:
  // `incarnation` distinguishes this process from earlier ones of the node.
  PeerThread(const settings::NodeSettings& settings, std::uint64_t incarnation,
             Metrics& metrics, EventSink& sink, Recorder& recorder,
             PlatformThread& platform,
             const std::atomic<std::uint64_t>& config_epoch);
  PeerThread(const PeerThread&) = delete;
  PeerThread& operator=(const PeerThread&) = delete;
  ~PeerThread();

  // Binds the address and starts the thread. Returns false if binding fails.
  bool Start(SpscQueue<PeerUpdate>& to_router);
  // The queue of messages from the router's thread.
  SpscQueue<PeerOutput>& Outgoing() { return this->outgoing; }
  // Marks this node as leaving in all later heartbeats: it accepts no new
  // requests.
  void AnnounceLeave() { this->leaving = true; }
  void Stop();

  // All known members, including this node.
  const Snapshot<std::vector<coordination::Member>>& Members() const {
    return this->members;
  }

 private:
  http::Task<void> Receive();
  http::Task<void> SendHeartbeats();
  void HandleDatagram(std::string_view datagram);
  void SendTo(const std::string& address, std::string_view datagram);
  std::vector<std::string> SelectTargets();
  transport::Heartbeat BuildHeartbeat();
  void PublishMembership();
  void SendOutgoing();
  // Sends to the member of this name; to all other members when it is empty.
  void SendToMembers(std::string_view to, std::string_view text);

  settings::NodeSettings settings;
  std::uint64_t incarnation;
  Metrics* metrics;
  EventSink* sink;
  Recorder* recorder;
  PlatformThread* platform;
  const std::atomic<std::uint64_t>* config_epoch;
  http::ExceptionHandler on_exception;
  boost::asio::io_context io{1};
  http::UdpSocket socket;
  IoWakeup outgoing_wakeup;
  SpscQueue<PeerOutput> outgoing;
  coordination::MemberView membership;
  std::minstd_rand random;
  std::uint64_t heartbeats_sent = 0;
  std::atomic<bool> leaving{false};
  SpscQueue<PeerUpdate>* to_router = nullptr;
  Snapshot<std::vector<coordination::Member>> members;
  std::thread thread;
};

}  // namespace hornbeamspool
