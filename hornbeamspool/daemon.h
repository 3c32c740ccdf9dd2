// One router process: its threads and the rings between them.
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

class Daemon {
 public:
  explicit Daemon(const settings::NodeSettings& settings);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  // Starts every thread. Returns what failed; empty on success.
  std::string Start();

  // The graceful shutdown: no new work, every request in progress finished,
  // every bill written, every unspent grant handed back. Returns false when
  // the drain timeout ended it first.
  bool Shutdown();

 private:
  settings::NodeSettings settings;
  std::uint64_t incarnation;
  Metrics metrics;
  Recorder recorder;
  EventSink* main_sink;
  EventSink* listener_sink;
  EventSink* decision_sink;
  EventSink* platform_sink;
  EventSink* peer_sink;
  EventSink* operator_sink;
  RouterThread decisions;
  PlatformThread platform;
  CallerServer callers;
  PeerThread peers;
  OperatorServer operators;
};

}  // namespace hornbeamspool
