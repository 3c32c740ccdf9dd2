// The HTTP server for callers and the thread that runs it.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "hornbeamspool/admission_client.h"
#include "hornbeamspool/fault_report.h"
#include "hornbeamspool/handler_context.h"
#include "hornbeamspool/io_wakeup.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/spsc_queue.h"
#include "http/client.h"
#include "http/server.h"
#include "http/task.h"
#include "policy/messages.h"
#include "settings/node_settings.h"

namespace hornbeamspool {

// Accepts callers' connections, answers health checks, and passes every other
// request to a relay. All of it runs on one event loop.
class CallerServer {
 public:
  // `request_prefix` begins every request id. `ready` is the answer to /readyz.
  CallerServer(const settings::CallerSettings& settings,
               std::string request_prefix, Metrics& metrics, EventSink& sink,
               const std::atomic<bool>& ready);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  ~CallerServer();

  // The queue of replies from the router's thread.
  SpscQueue<policy::AdmissionReply>& Replies() { return this->replies; }

  // Starts to listen and starts the thread. Returns false if listening fails.
  bool Start(SpscQueue<policy::ListenerMessage>& to_router);

  // Stops accepting connections. Requests in flight continue.
  void Drain();
  // Open connections, refreshed periodically.
  std::size_t OpenConnections() const { return this->open_connections; }
  void Stop();

  // Slots of the listener queue that are reserved for retries and completions.
  static std::size_t ReservedSlots(const settings::CallerSettings& settings);
  // Capacity of the listener queue, including the reserved slots, and of the
  // reply queue.
  static std::size_t QueueCapacity(const settings::CallerSettings& settings);

 private:
  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<void> CountConnections();

  settings::CallerSettings settings;
  const std::atomic<bool>* ready;
  http::ExceptionHandler on_exception;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  IoWakeup wakeup;
  SpscQueue<policy::AdmissionReply> replies;
  http::Client client;
  http::Server server;
  std::unique_ptr<AdmissionClient> admission_client;
  HandlerContext context;
  std::atomic<std::size_t> open_connections{0};
  std::thread thread;
};

}  // namespace hornbeamspool
