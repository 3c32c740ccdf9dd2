// A load generator that sends requests with ids on kept connections and records
// the status of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <ostream>
#include <random>
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
  std::vector<std::string> paths;  // used at random, by `seed`
  std::string id_prefix;           // of each Attempt-Id
  std::uint64_t seed = 1;
  std::int64_t concurrency = 8;
  std::int64_t requests = 100;           // in total
  std::int64_t requests_per_second = 0;  // 0: as fast as they are answered
  coordination::Duration caller_timeout = std::chrono::seconds(1);
};

// Each caller waits for its answer before its next request, which has a new id:
// the prefix, the first letter of the path and a number. Requests are never
// sent again. The servers are DuplicatingServers.
class OrderLoad {
 public:
  OrderLoad(boost::asio::io_context& io, OrderLoadOptions options);

  // Sends all requests. Writes a line for each: its id and the status of its
  // answer, 0 if there was none that is whole, or "mixed" for a success with
  // the body of another request.
  http::Task<void> Run(std::ostream& statuses);

 private:
  http::Task<void> RunCaller(std::ostream& statuses);

  boost::asio::io_context* io;
  OrderLoadOptions options;
  http::Client client;
  std::mt19937_64 random;
  std::int64_t next = 0;
  std::int64_t callers = 0;
};

}  // namespace hornbeamspool::standin
