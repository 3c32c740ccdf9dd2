// A stand-in for a plain service that accepts orders, for tests and the
// embedded mode.
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

// GET /executions returns how often the order with each Idempotency-Key was
// executed, so that a test can detect duplicates.
class ServiceStandin {
 public:
  ServiceStandin(boost::asio::io_context& io, std::string name);

  // Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

 private:
  http::Task<void> Handle(http::Exchange& exchange);
  http::Response Execute(const http::Request& request);
  http::Response ExecutionCounts() const;

  std::string name;
  http::Server server;
  FaultInjector fault_injector;
  std::int64_t orders = 0;
  std::map<std::string, std::int64_t, std::less<>> executions;  // by key
};

}  // namespace hornbeamspool::standin
