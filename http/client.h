// HTTP/1.1 client with a connection pool for each address.
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
#include "http/tunnel.h"

namespace hornbeamspool::http {

enum class FetchStatus : std::uint8_t {
  kOk,
  // No byte of the request was sent:
  kUnreachable,  // no connection could be opened in time
  kRefused,      // the address refused the connection: nothing listens there
  kConnectionLimit,  // the address already has `max_connections` connections
  kNoTunnel,         // the tunnel's host is unreachable, or opens none
  kWithheld,         // the caller of the client or the tunnel's host declined
  // The request was sent, at least in part:
  kBroken,   // the connection failed, or the response is malformed or too large
  kTimeout,  // the response did not arrive in time
  kCount
};

// True when the server may have received the request or a part of it.
constexpr bool MayHaveArrived(FetchStatus status) {
  return status == FetchStatus::kOk || status == FetchStatus::kBroken ||
         status == FetchStatus::kTimeout;
}

// Cancels a call: closes its connection, so that the call returns kBroken, or
// kUnreachable when no byte was sent yet.
class Canceller {
 public:
  void Cancel();
  bool Cancelled() const { return this->cancelled; }
  // For the client: sets what Cancel() calls, once, while a call is in
  // progress.
  void SetCloseHandler(std::function<void()> close);

 private:
  std::function<void()> close_handler;
  bool cancelled = false;
};

struct FetchOptions {
  coordination::Duration connect_timeout = std::chrono::seconds(1);
  // From the start of sending the request to the end of the response's head.
  coordination::Duration first_byte_timeout = std::chrono::seconds(5);
  // For each read of the response's body from the socket.
  coordination::Duration read_timeout = std::chrono::seconds(30);
  // A response with a larger body ends the call with kBroken.
  std::uint64_t max_body_bytes = std::uint64_t{16} << 20U;
  // Opens a new connection instead of using a pooled one, which the server may
  // have closed in the meantime. For requests where it must be known whether a
  // byte was sent, or whether the response is to them. Closes an idle one in
  // its place.
  bool fresh_connection = false;
  // A pooled connection that has been idle for longer is closed instead of
  // used.
  coordination::Duration max_idle_time = std::chrono::seconds(60);
  // Limits the whole call in addition to the timeouts.
  coordination::TimePoint deadline = coordination::TimePoint::max();
  // The server may close a pooled connection before the request arrives. When a
  // pooled connection fails without a byte of the response, the client calls
  // this to ask whether it may send the request again on a new connection. The
  // server may have begun to process the request already. Null: never resend.
  std::function<bool()> may_resend = [] { return true; };
  // Asked just before the request is written to a connection, each time. False
  // ends the call with kWithheld. Null: always send.
  std::function<bool()> confirm_send;
  // Open connections of the client to one address, idle ones included. Above
  // this number no new one is opened.
  std::size_t max_connections = SIZE_MAX;
  // May be null. Must outlive the call and its ResponseStream.
  Canceller* canceller = nullptr;
  // Opens connections through another host; null: directly. A response that
  // ends with its connection is broken then, since the host may have ended.
  std::shared_ptr<const Tunnel> tunnel;
  // For Fetch(): asked for the memory of each part of the response's body.
  // False ends the call with kBroken. May be null.
  std::function<bool(std::size_t)> reserve_body;
  // Called with kOk, kRefused or kUnreachable when a direct connection was
  // opened or has failed. May be null.
  std::function<void(FetchStatus)> on_connect;
};

struct FetchResult {
  FetchStatus status = FetchStatus::kUnreachable;
  Response response;  // complete only with kOk
};

struct ReadResult {
  FetchStatus status = FetchStatus::kOk;
  std::size_t count = 0;  // bytes read; 0 with kOk: the response is complete
};

// The connection that a response arrived on.
struct ConnectionUse {
  std::uint64_t number = 0;           // among the client's connections, from 1
  std::int64_t earlier_requests = 0;  // sent on it before this one
  coordination::TimePoint opened_at{};
};

// A response whose body is read as it arrives.
class ResponseStream {
 public:
  struct State;
  explicit ResponseStream(std::unique_ptr<State> state);
  ResponseStream(const ResponseStream&) = delete;
  ResponseStream& operator=(const ResponseStream&) = delete;
  // Returns the connection to the pool when the response was read to its end
  // and the server keeps the connection alive. Closes it otherwise.
  ~ResponseStream();

  // The status and headers; the body is empty.
  const Response& Head() const;
  const ConnectionUse& Connection() const;
  // Discards this response and reads the head of the next one on its
  // connection: for a response to an earlier request. Closes the connection
  // unless it returns kOk.
  Task<FetchStatus> ReadNext();
  // Reads the next bytes of the body into `buffer`.
  Task<ReadResult> Read(std::span<char> buffer);
  // Closes the connection, so that it is not reused even if the response is
  // complete.
  void Close();

 private:
  std::unique_ptr<State> state;
};

struct OpenResult {
  FetchStatus status = FetchStatus::kUnreachable;
  std::unique_ptr<ResponseStream> stream;  // null unless `status` is kOk
};

// Each call ends by its deadline or timeouts. Not thread-safe: runs on the one
// thread of its io_context.
class Client {
 public:
  explicit Client(boost::asio::io_context& io);
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  ~Client();

  // Sends `request` to `address`, an `ip:port`, and reads the head of the
  // response.
  Task<OpenResult> Open(std::string_view address, const Request& request,
                        const FetchOptions& options);

  // Opens a connection and closes it again. Returns kOk when it was accepted,
  // else kRefused or kUnreachable.
  Task<FetchStatus> Probe(std::string address, coordination::Duration timeout);

  // Closes the idle connections to `address`, those through other hosts too.
  void CloseIdle(std::string_view address);

  // Sends `request` as Open() does and reads the whole response.
  Task<FetchResult> Fetch(std::string_view address, const Request& request,
                          const FetchOptions& options);

  struct ConnectionPool;

 private:
  std::shared_ptr<ConnectionPool> pool;
};

}  // namespace hornbeamspool::http
