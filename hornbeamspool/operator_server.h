// The operators' listener and its thread.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "coordination/member_view.h"
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

// What the operators' answers are made from.
struct OperatorSources {
  const Snapshot<NodeStatus>* status = nullptr;
  const Snapshot<std::vector<coordination::Member>>* members = nullptr;
  const Recorder* recorder = nullptr;
  const Metrics* metrics = nullptr;
};

class OperatorServer {
 public:
  OperatorServer(const settings::NodeSettings& settings,
                 OperatorSources sources, EventSink& sink);
  OperatorServer(const OperatorServer&) = delete;
  OperatorServer& operator=(const OperatorServer&) = delete;
  ~OperatorServer();

  // Returns false when the address cannot be listened on.
  bool Start();
  void Stop();

 private:
  using Method =
      http::Task<http::Response> (OperatorServer::*)(const http::Request&);
  // One line of the table of endpoints.
  struct Endpoint {
    std::string_view method;
    std::string_view path;
    bool open = false;  // needs no key
    Method handle = nullptr;
  };
  static const std::vector<Endpoint>& Endpoints();

  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<http::Response> Answer(const http::Request& request);

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
  boost::asio::io_context io{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
  http::Client client;
  platform::StoreClient store;
  platform::ItemTable table;
  http::Server server;
  std::thread thread;
};

}  // namespace hornbeamspool
