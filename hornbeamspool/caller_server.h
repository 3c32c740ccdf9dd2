// The callers' listener and its thread.
#pragma once

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

#include "hornbeamspool/admission_client.h"
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

class CallerServer {
 public:
  // `ready` tells whether the node takes requests.
  CallerServer(const settings::CallerSettings& settings,
               std::string request_prefix, Metrics& metrics, EventSink& sink,
               const std::atomic<bool>& ready);
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;
  ~CallerServer();

  // Where the decisions leave replies.
  SpscQueue<policy::AdmissionReply>& Replies() { return this->replies; }

  // Starts the thread. Returns false when the address cannot be listened on.
  bool Start(SpscQueue<policy::ListenerMessage>& to_router);

  // Stops accepting. Requests in progress go on.
  void Drain();
  // Connections that are still open.
  std::size_t OpenConnections() const { return this->open_connections; }
  void Stop();

  // Places of the listener ring that are kept for retries and completions.
  static std::size_t ReservedSlots(const settings::CallerSettings& settings);
  static std::size_t QueueCapacity(const settings::CallerSettings& settings);

 private:
  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<void> CountConnections();

  settings::CallerSettings settings;
  const std::atomic<bool>* ready;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
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
