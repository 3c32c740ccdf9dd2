// The thread that exchanges heartbeats with the other routers.
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
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/platform_thread.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/spsc_queue.h"
#include "http/task.h"
#include "settings/node_settings.h"
#include "transport/heartbeat.h"

namespace hornbeamspool {

class PeerThread {
 public:
  PeerThread(const settings::NodeSettings& settings, std::uint64_t incarnation,
             Metrics& metrics, EventSink& sink, Recorder& recorder,
             PlatformThread& platform,
             const std::atomic<std::uint64_t>& config_epoch);
  PeerThread(const PeerThread&) = delete;
  PeerThread& operator=(const PeerThread&) = delete;
  ~PeerThread();

  // Returns false when the address cannot be bound.
  bool Start(SpscQueue<MembershipUpdate>& to_router);
  // The peers are told that this node takes no new work.
  void AnnounceLeave() { this->leaving = true; }
  void Stop();

  const Snapshot<std::vector<coordination::Member>>& Members() const {
    return this->members;
  }

 private:
  http::Task<void> Receive();
  http::Task<void> SendHeartbeats();
  void HandleDatagram(std::string_view datagram);
  void SendTo(const std::string& address, std::string_view sealed);
  std::vector<std::string> SelectTargets();
  transport::Heartbeat BuildHeartbeat();
  void PublishMembership();

  settings::NodeSettings settings;
  std::uint64_t incarnation;
  Metrics* metrics;
  EventSink* sink;
  Recorder* recorder;
  PlatformThread* platform;
  const std::atomic<std::uint64_t>* config_epoch;
  boost::asio::io_context io{1};
  http::UdpSocket socket;
  coordination::MemberView membership;
  std::minstd_rand random;
  std::uint64_t heartbeats_sent = 0;
  std::atomic<bool> leaving{false};
  SpscQueue<MembershipUpdate>* to_router = nullptr;
  Snapshot<std::vector<coordination::Member>> members;
  std::thread thread;
};

}  // namespace hornbeamspool
