// A stand-in for the platform's servers, for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "standin/fault_injector.h"

namespace hornbeamspool::standin {

// Answers each request with the headers that the platform's servers set, and
// streams events on /stream/. GET /runs returns how often each attempt ran, and
// GET /arrivals what FaultInjector::HandleArrivals does. A body with the crash
// marker ends the process.
class ServerStandin {
 public:
  // `id` identifies this instance of the server.
  ServerStandin(boost::asio::io_context& io, std::string id);

  // Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<void> SendStream(http::Exchange& exchange, http::Response head);
  http::Response RunCounts() const;

  boost::asio::io_context* io;
  std::string id;
  http::Server server;
  FaultInjector fault_injector;
  std::map<std::string, std::int64_t, std::less<>> run_counts;  // by Attempt-Id
};

}  // namespace hornbeamspool::standin
