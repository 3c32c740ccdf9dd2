// One router process: its threads and the queues between them.
#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <vector>

#include "hornbeamspool/caller_server.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/operator_server.h"
#include "hornbeamspool/peer_thread.h"
#include "hornbeamspool/platform_thread.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/router_thread.h"
#include "settings/node_settings.h"

namespace hornbeamspool {

// Owns the threads of a router, connects their queues, and starts and stops
// them in order.
class Daemon {
 public:
  explicit Daemon(const settings::NodeSettings& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Starts every thread. Returns an error message; empty on success.
  std::string Start();

  // Graceful shutdown: accepts no new requests, finishes those in flight,
  // writes every bill and returns every unspent grant. Returns false if the
  // drain timeout expires first.
  bool Shutdown();

 private:
  settings::NodeSettings settings;
  std::uint64_t incarnation;
  Metrics metrics;
  Recorder recorder;
  EventSink* main_sink;
  EventSink* listener_sink;
  EventSink* router_sink;
  EventSink* platform_sink;
  EventSink* peer_sink;
  EventSink* operator_sink;
  RouterThread router;
  PlatformThread platform;
  CallerServer callers;
  PeerThread peers;
  OperatorServer operators;
};

}  // namespace hornbeamspool
