// HTTP/1.1 client with pooled connections. Runs on one io_context with one
// thread. Every call ends by its deadline.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string_view>

#include "coordination/time.h"
#include "http/message.h"
#include "http/task.h"

namespace hornbeamspool::http {

enum class FetchStatus : std::uint8_t {
  kOk,
  kUnreachable,  // no byte of the request was sent
  kBroken,       // sent, and the connection failed
  kTimeout,      // sent, and no answer came in time
  kCount
};

struct FetchOptions {
  coordination::Duration connect_timeout = std::chrono::seconds(1);
  coordination::Duration first_byte_timeout = std::chrono::seconds(5);
  coordination::Duration read_timeout = std::chrono::seconds(30);
  std::uint64_t body_bytes = std::uint64_t{16} << 20U;  // largest answer taken
  // Never uses a pooled connection, whose peer may have closed it already:
  // needed where it matters whether a byte was sent.
  bool fresh_connection = false;
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

  // Sends a request and reads the whole answer.
  Task<FetchResult> Fetch(std::string_view address, const Request& request,
                          const FetchOptions& options);

  struct Pool;

 private:
  std::shared_ptr<Pool> pool;
};

}  // namespace hornbeamspool::http
