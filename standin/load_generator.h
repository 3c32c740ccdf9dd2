// Callers: a bounded load on one address, and what was measured of it.
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
  std::string plain_path;  // a plain POST instead of a model request
  std::string key_prefix;  // Idempotency-Key of request n: prefix + n
  std::int64_t concurrency = 8;
  std::int64_t requests = 100;  // in all
  std::int64_t max_tokens = 32;
  std::int64_t prompt_bytes = 200;
  bool stream = true;
  coordination::Duration read_delay{};  // a slow reader's pause after a piece
};

struct LoadResult {
  std::int64_t completed = 0;  // answered whole
  std::int64_t refused = 0;    // answered with an error
  std::int64_t broken = 0;     // not answered whole
  std::int64_t tokens = 0;
  double seconds = 0;
  std::vector<double> first_token_ms;
  std::vector<double> token_gap_ms;
  std::vector<double> completion_ms;
};

class LoadGenerator {
 public:
  LoadGenerator(boost::asio::io_context& io, LoadOptions options);

  // Sends every request; ends by itself.
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

// The value below which `share` of the values lie; 0 without values.
double Percentile(std::vector<double> values, double fraction);

}  // namespace hornbeamspool::standin
