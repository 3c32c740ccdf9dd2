// HTTP/1.1 client with pooled connections. Runs on one io_context with one
// thread. Every call ends by its deadline.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "coordination/time.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

enum class FetchStatus : std::uint8_t {
  kOk,
  kUnreachable,      // no byte of the request was sent
  kRefused,          // neither: nobody listens at the address
  kConnectionLimit,  // neither: the address has its most connections already
  kBroken,           // sent, and the connection failed
  kTimeout,          // sent, and no answer came in time
  kCount
};

// Whether the server may have the request, or a part of it.
constexpr bool MayHaveArrived(FetchStatus status) {
  return status == FetchStatus::kOk || status == FetchStatus::kBroken ||
         status == FetchStatus::kTimeout;
}

// Ends a call from outside: its connection is closed, and the call returns
// kBroken, or kUnreachable when nothing was sent yet.
class Canceller {
 public:
  void Cancel();
  bool Cancelled() const { return this->cancelled; }
  // Set by the client while a call is under way.
  void SetCloseHandler(std::function<void()> close);

 private:
  std::function<void()> close_handler;
  bool cancelled = false;
};

struct FetchOptions {
  coordination::Duration connect_timeout = std::chrono::seconds(1);
  coordination::Duration first_byte_timeout = std::chrono::seconds(5);
  coordination::Duration read_timeout = std::chrono::seconds(30);
  std::uint64_t max_body_bytes = std::uint64_t{16}
                                 << 20U;  // largest answer taken
  // Never uses a pooled connection, whose peer may have closed it already:
  // needed where it matters whether a byte was sent.
  bool fresh_connection = false;
  // A pooled connection that has been idle longer is closed unused.
  coordination::Duration max_idle_time = std::chrono::seconds(60);
  // The whole call ends by then, whatever the other limits say.
  coordination::TimePoint deadline = coordination::TimePoint::max();
  // A pooled connection may have been closed before the request came. Asked,
  // when one ends without a byte of an answer, whether the request may be sent
  // once more on a fresh one: the server may have begun it. Null: never.
  std::function<bool()> may_resend = [] { return true; };
  // Open connections to one address, of all calls together.
  std::size_t max_connections = SIZE_MAX;
  Canceller* canceller = nullptr;  // outlives the call and its answer
};

struct FetchResult {
  FetchStatus status = FetchStatus::kUnreachable;
  Response response;
};

struct ReadResult {
  FetchStatus status = FetchStatus::kOk;
  std::size_t count = 0;  // 0 with kOk: the answer has ended, whole
};

// The body of an answer, read piece by piece.
class ResponseStream {
 public:
  struct State;
  explicit ResponseStream(std::unique_ptr<State> state);
  ResponseStream(const ResponseStream&) = delete;
  ResponseStream& operator=(const ResponseStream&) = delete;
  // Closes the connection unless the answer was read to its end.
  ~ResponseStream();

  const Response& Head() const;
  Task<ReadResult> Read(std::span<char> into);
  // The connection is not used again, whatever has been read of the answer.
  void Close();

 private:
  std::unique_ptr<State> state;
};

struct OpenResult {
  FetchStatus status = FetchStatus::kUnreachable;
  std::unique_ptr<ResponseStream> stream;  // with kOk
};

class Client {
 public:
  explicit Client(boost::asio::io_context& io);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  // Sends a request to `ip:port` and reads the head of the answer.
  Task<OpenResult> Open(std::string_view address, const Request& request,
                        const FetchOptions& options);

  // Opens a connection and closes it: kOk when somebody listens, else kRefused
  // or kUnreachable.
  Task<FetchStatus> Probe(std::string address, coordination::Duration timeout);

  // Sends a request and reads the whole answer.
  Task<FetchResult> Fetch(std::string_view address, const Request& request,
                          const FetchOptions& options);

  struct Pool;

 private:
  std::shared_ptr<Pool> pool;
};

}  // namespace hornbeamspool::http
