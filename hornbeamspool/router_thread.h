// The thread of the decisions: takes messages from rings, lets the router
// decide, and hands on what it asks for.
#pragma once

#include <atomic>
#include <deque>
#include <string>
#include <thread>

#include "hornbeamspool/metrics.h"
#include "hornbeamspool/node_status.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/spsc_queue.h"
#include "hornbeamspool/wakeup.h"
#include "policy/router.h"

namespace hornbeamspool {

class RouterThread {
 public:
  RouterThread(policy::RouterOptions options, std::size_t listener_capacity,
               Metrics& metrics, EventSink& sink);
  RouterThread(const RouterThread&) = delete;
  RouterThread& operator=(const RouterThread&) = delete;
  ~RouterThread();

  SpscQueue<policy::ListenerMessage>& ListenerQueue() {
    return this->listener_queue;
  }
  SpscQueue<PlatformMessage>& PlatformQueue() { return this->platform_queue; }
  SpscQueue<MembershipUpdate>& PeerQueue() { return this->peer_queue; }

  void Start(SpscQueue<policy::AdmissionReply>& to_listener,
             SpscQueue<policy::TableCommand>& to_platform);

  // Begins the graceful stop. Stopped() turns true when everything is billed
  // and handed back.
  void BeginStop() { this->shutdown_requested = true; }
  bool Stopped() const { return this->stopped; }
  void Stop();

  const std::atomic<bool>& Ready() const { return this->ready; }
  const std::atomic<std::uint64_t>& ConfigEpoch() const {
    return this->config_epoch;
  }
  const Snapshot<NodeStatus>& Status() const { return this->status; }

 private:
  void Run();
  void HandleListenerMessage(policy::ListenerMessage message);
  void HandlePlatformMessage(PlatformMessage message);
  void HandleMembershipUpdate(const MembershipUpdate& update);
  void FlushOutbox();
  void CountEvent(const policy::Event& event);
  void Publish();

  policy::Router router;
  Metrics* metrics;
  EventSink* sink;
  Wakeup wakeup;
  SpscQueue<policy::ListenerMessage> listener_queue;
  SpscQueue<PlatformMessage> platform_queue;
  SpscQueue<MembershipUpdate> peer_queue;
  SpscQueue<policy::AdmissionReply>* to_listener = nullptr;
  SpscQueue<policy::TableCommand>* to_platform = nullptr;
  policy::Outbox outbox;
  // What did not fit into a full ring. Bounded by the requests in flight.
  std::deque<policy::AdmissionReply> unsent_replies;
  std::deque<policy::TableCommand> unsent_commands;
  std::uint64_t newest_epoch = 0;
  std::atomic<bool> ready{false};
  std::atomic<std::uint64_t> config_epoch{0};
  std::atomic<bool> shutdown_requested{false};
  std::atomic<bool> stopped{false};
  std::atomic<bool> exit_requested{false};
  Snapshot<NodeStatus> status;
  std::thread thread;
};

}  // namespace hornbeamspool
