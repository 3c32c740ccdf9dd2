// The thread that runs the router's policy.
#pragma once

#include <atomic>
#include <deque>
#include <string>
#include <thread>

#include "hornbeamspool/fault_report.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/node_status.h"
#include "hornbeamspool/platform_messages.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "hornbeamspool/spsc_queue.h"
#include "hornbeamspool/wakeup.h"
#include "policy/router.h"

namespace hornbeamspool {

// Owns policy::Router and the thread that runs it. Consumes messages from the
// listener, the platform and the peers, passes them to the router, and sends
// out the replies, table commands and events that it produces.
class RouterThread {
 public:
  // `listener_capacity` is the capacity of ListenerQueue in messages.
  RouterThread(policy::RouterOptions options, std::size_t listener_capacity,
               Metrics& metrics, EventSink& sink);
  RouterThread(const RouterThread&) = delete;
  RouterThread& operator=(const RouterThread&) = delete;
  ~RouterThread();

  // Incoming queues. Each has one producer thread.
  SpscQueue<policy::ListenerMessage>& ListenerQueue() {
    return this->listener_queue;
  }
  SpscQueue<PlatformMessage>& PlatformQueue() { return this->platform_queue; }
  SpscQueue<PeerUpdate>& PeerQueue() { return this->peer_queue; }

  // Starts the thread, with the queues for its output.
  void Start(SpscQueue<policy::AdmissionReply>& to_listener,
             SpscQueue<policy::TableCommand>& to_platform,
             SpscQueue<PeerOutput>& to_peers);

  // Begins a graceful shutdown. Stopped() turns true once every bill is written
  // and every unspent grant is returned to its budget.
  void BeginStop() { this->shutdown_requested = true; }
  bool Stopped() const { return this->stopped; }
  // Ends and joins the thread, even if the shutdown is not complete.
  void Stop();

  // True while this node accepts requests.
  const std::atomic<bool>& Ready() const { return this->ready; }
  // Epoch of the configuration in force.
  const std::atomic<std::uint64_t>& ConfigEpoch() const {
    return this->config_epoch;
  }
  // Status of this node for the operators, refreshed periodically.
  const Snapshot<NodeStatus>& Status() const { return this->status; }

 private:
  void Run();
  // Runs `step`, a function without arguments. Reports an exception that leaves
  // it.
  template <typename Step>
  void Guard(const Step& step);
  void HandleListenerMessage(policy::ListenerMessage message);
  void HandlePlatformMessage(PlatformMessage message);
  void HandlePeerUpdate(PeerUpdate update);
  void FlushOutbox();
  void CountEvent(const policy::Event& event);
  void PublishStatus();

  policy::Router router;
  Metrics* metrics;
  EventSink* sink;
  http::ExceptionHandler on_exception;
  Wakeup wakeup;
  SpscQueue<policy::ListenerMessage> listener_queue;
  SpscQueue<PlatformMessage> platform_queue;
  SpscQueue<PeerUpdate> peer_queue;
  SpscQueue<policy::AdmissionReply>* to_listener = nullptr;
  SpscQueue<policy::TableCommand>* to_platform = nullptr;
  SpscQueue<PeerOutput>* to_peers = nullptr;
  policy::Outbox outbox;
  // Output that did not fit into a full queue yet. Bounded by the requests in
  // flight.
  std::deque<policy::AdmissionReply> unsent_replies;
  std::deque<policy::TableCommand> unsent_commands;
  std::uint64_t newest_epoch = 0;  // highest config epoch of any peer
  std::int64_t fleet_size = 1;     // live nodes
  std::atomic<bool> ready{false};
  std::atomic<std::uint64_t> config_epoch{0};
  std::atomic<bool> shutdown_requested{false};
  std::atomic<bool> stopped{false};
  std::atomic<bool> exit_requested{false};
  Snapshot<NodeStatus> status;
  std::thread thread;
};

}  // namespace hornbeamspool
