// HTTP/1.1 server with limits on time and size. Runs on one io_context with
// one thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include "coordination/time.h"
#include "http/exchange.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

struct ServerLimits {
  coordination::Duration header_timeout = std::chrono::seconds(10);
  coordination::Duration body_timeout = std::chrono::seconds(30);
  coordination::Duration idle_timeout = std::chrono::seconds(75);
  coordination::Duration write_timeout = std::chrono::seconds(60);
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
  std::size_t max_connections = 20'000;
};

// Why the server answers a request by itself.
enum class RejectReason : std::uint8_t {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kTimeout,
  kTooManyConnections,
  kHandlerFailed,
  kCount
};

using Handler = std::function<Task<void>(Exchange&)>;
using RejectHandler = std::function<Response(RejectReason)>;

class Server {
 public:
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler,
         RejectHandler reject_handler);
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  ~Server();

  // Starts to accept on `ip:port`. Returns the port, 0 on failure.
  std::uint16_t Listen(std::string_view address);

  // Limits of the requests that are read from now on.
  void SetLimits(const ServerLimits& limits);

  // Whether answers from now on end their connections; the listener stays open,
  // so that callers who are still sent here are served.
  void DisableKeepAlive(bool disable);

  // Stops accepting and closes idle connections. Requests in progress go on,
  // and their connections close after the answer.
  void Drain();

  std::size_t OpenConnections() const;
  // Requests whose first byte has arrived and whose answer has not ended.
  std::size_t ActiveRequests() const;

  // Shared with the connections; defined where they are.
  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace hornbeamspool::http
