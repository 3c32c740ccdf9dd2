// A stand-in for the platform's servers: answers each request with the marks
// that the platform's servers set, and streams events on /stream/. Counts how
// often each request ran. A marked request ends its process.
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

class ServerStandin {
 public:
  // `id` is this start of the server, by which callers name it.
  ServerStandin(boost::asio::io_context& io, std::string id);

  // Returns the port, 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  http::Task<void> Handle(http::Exchange& exchange);
  http::Task<void> SendStream(http::Exchange& exchange, http::Response head);
  http::Response RunCounts() const;

  boost::asio::io_context* io;
  std::string id;
  http::Server server;
  FaultInjector fault_injector;
  std::map<std::string, std::int64_t, std::less<>> run_counts;
};

}  // namespace hornbeamspool::standin
