// A load generator that sends orders on kept connections and records the status
// of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "coordination/time.h"
#include "http/client.h"
#include "http/task.h"

namespace hornbeamspool::standin {

struct OrderLoadOptions {
  std::vector<std::string> targets;  // ip:port of the gateways, used in turn
  std::string host;
  std::string bearer;
  std::string path;
  std::string id_prefix;  // of each Attempt-Id
  std::int64_t concurrency = 8;
  std::int64_t requests = 100;           // in total
  std::int64_t requests_per_second = 0;  // 0: as fast as they are answered
  coordination::Duration caller_timeout = std::chrono::seconds(1);
};

// Each caller waits for its answer before its next order, which has a new id.
// Orders are never sent again.
class OrderLoad {
 public:
  OrderLoad(boost::asio::io_context& io, OrderLoadOptions options);

  // Sends all orders. Writes a line for each: its id and the status of its
  // answer, 0 if there was none.
  http::Task<void> Run(std::ostream& statuses);

 private:
  http::Task<void> RunCaller(std::ostream& statuses);

  boost::asio::io_context* io;
  OrderLoadOptions options;
  http::Client client;
  std::int64_t next = 0;
  std::int64_t callers = 0;
};

}  // namespace hornbeamspool::standin
