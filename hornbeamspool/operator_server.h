// The HTTP server for operators and the thread that runs it.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "coordination/member_view.h"
#include "hornbeamspool/fault_report.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/node_status.h"
#include "hornbeamspool/recorder.h"
#include "hornbeamspool/snapshot.h"
#include "http/client.h"
#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "platform/item_table.h"
#include "platform/store_client.h"
#include "settings/node_settings.h"

namespace hornbeamspool {

// State of other threads that the answers are built from.
struct OperatorSources {
  const Snapshot<NodeStatus>* status = nullptr;
  const Snapshot<std::vector<coordination::Member>>* members = nullptr;
  const Recorder* recorder = nullptr;
  Metrics* metrics = nullptr;
};

// Serves health checks, metrics and the operators' JSON API. Every endpoint
// that is not public requires the operators' key as a bearer token.
class OperatorServer {
 public:
  OperatorServer(const settings::NodeSettings& settings,
                 OperatorSources sources, EventSink& sink);
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  ~OperatorServer();

  // Starts to listen and starts the thread. Returns false if listening fails.
  bool Start();
  void Stop();

 private:
  using Method =
      http::Task<http::Response> (OperatorServer::*)(const http::Request&);
  struct Endpoint {
    std::string_view method;
    std::string_view path;
    bool is_public = false;  // needs no key
    Method handle = nullptr;
  };
  static const std::vector<Endpoint>& Endpoints();

  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<http::Response> Dispatch(const http::Request& request);

  http::Task<http::Response> Health(const http::Request& request);
  http::Task<http::Response> Ready(const http::Request& request);
  http::Task<http::Response> MetricsText(const http::Request& request);
  http::Task<http::Response> Nodes(const http::Request& request);
  http::Task<http::Response> Timeline(const http::Request& request);
  http::Task<http::Response> GetConfig(const http::Request& request);
  http::Task<http::Response> StoreConfig(const http::Request& request);
  http::Task<http::Response> GetBudget(const http::Request& request);
  http::Task<http::Response> CreateBudget(const http::Request& request);
  http::Task<http::Response> TopUp(const http::Request& request);
  http::Task<http::Response> Bills(const http::Request& request);
  http::Task<http::Response> Rollouts(const http::Request& request);
  http::Task<http::Response> ChangeBudget(const http::Request& request,
                                          bool create);

  settings::NodeSettings settings;
  OperatorSources sources;
  EventSink* sink;
  http::ExceptionHandler on_exception;
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard;
  http::Client client;
  platform::StoreClient store;
  platform::ItemTable table;
  http::Server server;
  std::thread thread;
};

}  // namespace hornbeamspool
