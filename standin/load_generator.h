// A load generator that measures latencies and throughput.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "coordination/time.h"
#include "http/client.h"
#include "http/task.h"

namespace hornbeamspool::standin {

struct LoadOptions {
  std::string target;  // ip:port
  std::string bearer;
  std::string model = "planner";
  std::string plain_path;  // if set: POST to this path, not model requests
  std::string key_prefix;  // Idempotency-Key of request n: prefix + n
  std::int64_t concurrency = 8;
  std::int64_t requests = 100;  // in total
  std::int64_t max_tokens = 32;
  std::int64_t prompt_bytes = 200;
  bool stream = true;
  coordination::Duration read_delay{};  // pause after each read
};

// Counts are of requests; times are in milliseconds, unless noted otherwise.
struct LoadResult {
  std::int64_t completed = 0;  // answered completely
  std::int64_t refused = 0;    // answered with an error
  std::int64_t broken = 0;     // not answered, or only in part
  std::int64_t tokens = 0;
  double seconds = 0;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<double> completion_ms;
};

// Sends a fixed number of requests to one address from concurrent callers, each
// of which waits for its answer before the next request.
class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& io, LoadOptions options);

  // Sends all requests, and returns when the last one has ended.
  http::Task<LoadResult> Run();

 private:
  http::Task<void> RunCaller();
  http::Task<void> SendRequest(std::int64_t number);
  http::Request MakeRequest(std::int64_t number) const;

  boost::asio::io_context* io;
  LoadOptions options;
  http::Client client;
  LoadResult result;
  std::int64_t next = 0;
  std::int64_t callers = 0;
};

// The percentile at `fraction`, such as 0.95. 0 if there are no values.
double Percentile(std::vector<double> values, double fraction);

}  // namespace hornbeamspool::standin
