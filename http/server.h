// HTTP/1.1 server with limits on time, size and connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "coordination/time.h"
#include "http/background_task.h"
#include "http/exchange.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

class ClientMemory;

struct ServerLimits {
  // Time to receive the head of a request, from its first bytes.
  coordination::Duration header_timeout = std::chrono::seconds(10);
  // Time to receive the body of a request, from the end of its head.
  coordination::Duration body_timeout = std::chrono::seconds(30);
  // Time without any byte of a request that has begun.
  coordination::Duration progress_timeout = std::chrono::seconds(15);
  // Time that a connection may stay open without a request.
  coordination::Duration idle_timeout = std::chrono::seconds(75);
  // Time for one write: a whole response, or a head or chunk of a stream.
  coordination::Duration write_timeout = std::chrono::seconds(60);
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = std::uint64_t{4} << 20U;
  // Bytes of a chunked body that are not content: sizes, extensions and
  // trailers of chunks. For each byte of content, kFramingPerContentByte more.
  std::uint64_t max_framing_bytes = 64 * 1024;
  std::size_t max_connections = 20'000;
  std::size_t max_connections_per_address = SIZE_MAX;
  // Memory that the handler needs for each byte of a body, in addition to the
  // body: for what it parses or builds from it.
  std::size_t handler_memory_factor = 0;
};

// Enough for chunks of one byte: `1`, CR, LF, the byte, CR, LF.
constexpr std::uint64_t kFramingPerContentByte = 8;

// Why the server answered a request without its handler, or instead of it.
enum class RejectReason : std::uint8_t {
  kMalformed,
  kHeadersTooLarge,
  kBodyTooLarge,
  kTimeout,  // the request was not received in time
  kTooManyConnections,
  kHandlerFailed,  // the handler threw, or returned without a response
  kNoMemory,  // the request waited too long for memory, or made no progress
              // while others waited
  kTooManyFromAddress,  // connections from one IP address
  // Closed without a response:
  kUnread,       // others waited for memory, and the response was not read
  kNotAccepted,  // a connection could not be accepted, or was closed at once
  kCount
};

// The name in logs and metrics.
std::string_view NameOf(RejectReason reason);

// Serves one request. Runs until the response is complete.
using Handler = std::function<Task<void>(Exchange&)>;
// Sees the head of a request before its body is read; `body_bytes` is the
// announced length, 0 when there is none. A response ends the request: it is
// sent without reading the body, and the connection closes after it.
using HeadHandler = std::function<std::optional<Response>(
    const Request& head, std::uint64_t body_bytes)>;
// Makes the response to a rejected request.
using RejectHandler = std::function<Response(RejectReason)>;
// Told of each rejection, with the IP address of the client if it is known.
using RejectObserver = std::function<void(RejectReason, std::string_view)>;

// Serves keep-alive connections. The requests of one connection, also pipelined
// ones, are handled one after another. Not thread-safe: runs on the one thread
// of its io_context.
class Server {
 public:
  // `on_exception` is called when an exception ends a request or a connection;
  // other connections go on. May be null. `memory` is for requests and
  // responses, and may be shared by servers; null: it is not limited.
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler,
         RejectHandler reject_handler, ExceptionHandler on_exception = {},
         std::shared_ptr<ClientMemory> memory = {});
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  // Drains the server.
  ~Server();

  // Starts to accept connections on `address`, an `ip:port`. Port 0 chooses a
  // free one. Returns the port, or 0 when the server can't listen there.
  std::uint16_t Listen(std::string_view address);

  // Replaces the limits. An operation in progress keeps the timeout that it
  // began with.
  void SetLimits(const ServerLimits& limits);

  // Sets the handler of heads; none by default.
  void SetHeadHandler(HeadHandler handler);
  void SetRejectObserver(RejectObserver observer);

  // While disabled, the server closes each connection after the next response.
  // It still accepts connections, for clients that a load balancer still sends
  // here.
  void DisableKeepAlive(bool disable);

  // Stops accepting connections and closes the idle ones. Requests in progress
  // continue; their connections close after the response.
  void Drain();

  std::size_t OpenConnections() const;
  // Requests whose first byte has arrived and whose response is not complete.
  std::size_t ActiveRequests() const;

  // State shared with the connections; defined in server.cc.
  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace hornbeamspool::http
