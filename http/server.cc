#include "http/server.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <exception>
#include <iterator>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

#include "http/address.h"
#include "http/chunked_body.h"
#include "http/client_memory.h"
#include "http/clock.h"
#include "http/task.h"
#include "http/watchdog.h"

namespace hornbeamspool::http {
namespace {

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

// The connection keeps the body itself, so that it knows its capacity.
using RequestParser = bhttp::request_parser<bhttp::buffer_body>;
using RequestMessage = bhttp::request<bhttp::buffer_body>;

// Bytes read at once from a closing connection.
constexpr std::size_t kReadBytes = 1024;

// Bytes of a request read at once.
constexpr std::size_t kMessageReadBytes = 16 * 1024;

// Bytes of a body that are decoded at once: what was read, and what was left.
constexpr std::size_t kDecodeBytes = kMessageReadBytes + kMaxFramingBytes;

// A body of unknown length grows by this fraction of its capacity. std::string
// would double it.
constexpr std::size_t kGrowthDivisor = 4;

// Memory of a head: the parser's fields, the request's, and those of the
// request to an upstream, each with its node and its allocations.
constexpr std::size_t kMemoryPerHeadByte = 4;
constexpr std::size_t kMemoryPerField = 256;

// Connections over the limit that get a response at the same time; further ones
// are closed at once.
constexpr std::size_t kMaxRefusedConnections = 32;

// Pause after an error of the listener, such as no descriptors left.
constexpr coordination::Duration kAcceptPause = std::chrono::milliseconds(100);

// How long a closing connection still reads. If it closed with unread bytes,
// the kernel would reset it, and the client might lose the response.
constexpr coordination::Duration kLingerTimeout = std::chrono::seconds(1);

// True for heads whose framing or host is ambiguous, as in request smuggling
// (RFC 9112, 3.2 and 6.1).
bool IsAmbiguous(const RequestMessage& head) {
  const std::size_t hosts = head.count(bhttp::field::host);
  if (hosts > 1 || (head.version() == 11 && hosts == 0)) return true;
  const std::size_t codings = head.count(bhttp::field::transfer_encoding);
  if (codings == 0) return false;
  return codings > 1 || head.version() != 11 ||
         !beast::iequals(head[bhttp::field::transfer_encoding], "chunked");
}

Request FromBeast(const RequestMessage& message) {
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  return request;
}

std::size_t HeadMemory(const RequestMessage& head, std::size_t bytes) {
  const auto fields = std::distance(head.begin(), head.end());
  return bytes * kMemoryPerHeadByte +
         static_cast<std::size_t>(fields) * kMemoryPerField;
}

// Whether the client has closed its sending side, even if bytes are unread.
bool HasLeft(TcpSocket& socket) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int result =
      ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
  return result != 0 || info.tcpi_state != TCP_ESTABLISHED;
}

// The IP address of the other end; unspecified if the connection has ended.
net::ip::address PeerAddress(const TcpSocket& socket) {
  error_code error;
  const auto endpoint = socket.remote_endpoint(error);
  return error ? net::ip::address() : endpoint.address();
}

template <typename Body>
void SetHead(bhttp::response<Body>& message, const Response& response,
             bool keep_alive) {
  message.version(11);
  message.result(response.status);
  for (const Header& header : response.headers) {
    message.insert(header.name, header.value);
  }
  message.keep_alive(keep_alive);
}

}  // namespace

struct Server::State {
  explicit State(net::io_context& io) : io(&io), watchdog(io) {}
  net::io_context* io;
  Watchdog watchdog;
  ServerLimits limits;
  Handler handler;
  HeadHandler head_handler;
  RejectHandler reject_handler;
  ExceptionHandler on_exception;
  std::optional<TcpAcceptor> acceptor;
  std::shared_ptr<ClientMemory> memory;
  RejectObserver reject_observer;
  // Of connections that await a request, in the order in which they began to.
  std::map<std::uint64_t, TcpSocket*> idle_sockets;
  std::uint64_t last_idle = 0;
  std::map<net::ip::address, std::size_t> connections_by_address;
  // Shared by all connections: used only until the next suspension.
  std::array<char, kMessageReadBytes> received{};
  std::array<char, kDecodeBytes> decoded{};
  std::size_t open_connections = 0;
  std::size_t active_requests = 0;
  bool draining = false;
  bool keep_alive_disabled = false;

  void ReportException(std::string_view message) const {
    if (this->on_exception) this->on_exception(message);
  }
  void ReportReject(RejectReason reason, const net::ip::address& peer) const {
    if (this->reject_observer) this->reject_observer(reason, peer.to_string());
  }
};

namespace {

// Counts a request in `Server::State::active_requests`.
class ActiveRequest {
 public:
  explicit ActiveRequest(Server::State& state) : state(&state) {
    ++this->state->active_requests;
  }
  ActiveRequest(const ActiveRequest&) = delete;
  ActiveRequest& operator=(const ActiveRequest&) = delete;
  ~ActiveRequest() { --this->state->active_requests; }

 private:
  Server::State* state;
};

// One connection. Handles its requests one after another in the order of their
// arrival, including pipelined ones.
class Connection : public Exchange,
                   public std::enable_shared_from_this<Connection> {
 public:
  Connection(TcpSocket socket, std::shared_ptr<Server::State> state);
  ~Connection() override {
    this->state->idle_sockets.erase(this->idle);
    --this->state->open_connections;
    const auto found = this->state->connections_by_address.find(this->peer);
    if (--found->second == 0) this->state->connections_by_address.erase(found);
  }

  Task<void> Run();

  const Request& GetRequest() const override { return this->request; }
  bool TryReserve(std::size_t bytes) override {
    return this->memory.TryAddForAnswer(bytes);
  }
  Task<bool> Send(Response response) override;
  Task<bool> BeginStream(Response head) override;
  Task<bool> Write(std::string_view bytes) override;
  Task<bool> EndStream() override;
  void OnDisconnect(std::function<void()> notify) override;
  void Abort() override;

 private:
  void WatchForDisconnect();
  bool ClientClosed();
  bool ClosedBeforeHandling();
  Task<void> LingeringClose();
  std::optional<RejectReason> ReasonToRefuse() const;
  Task<void> Refuse(RejectReason reason);
  Task<bool> WaitForRequest();
  Task<std::optional<RejectReason>> ReadRequest();
  Task<void> ReadPart(RequestParser& parser, bool whole,
                      coordination::Duration timeout, error_code& error);
  void ParseBuffered(RequestParser& parser, bool whole, error_code& error);
  bool FramingExceeded() const;
  Task<bool> MakeRoom(const RequestParser* body);
  void Receive(error_code& error);
  std::optional<RejectReason> RejectReasonOf(const error_code& error);
  Task<void> Handle();
  void AfterWrite(const error_code& error);
  // Memory that the connection holds while it reads.
  std::size_t Held() const {
    return this->buffer.capacity() + this->body.capacity() + this->head_memory;
  }
  bool KeepAlive() const {
    return this->wants_keep_alive && !this->state->draining &&
           !this->state->keep_alive_disabled;
  }

  TcpSocket socket;
  std::shared_ptr<Server::State> state;
  net::ip::address peer;
  Watchdog::Guard guard;
  ClientMemory::Holder memory;
  std::uint64_t idle = 0;     // key in `idle_sockets` while it awaits a request
  beast::flat_buffer buffer;  // received and not parsed
  std::string body;           // of the request that is read
  std::size_t head_memory = 0;
  std::uint64_t body_wire_bytes = 0;  // parsed of the body and its framing
  Request request;
  std::optional<Response> head_response;  // of the head handler
  bool wants_keep_alive = true;
  bool disconnected = false;      // nothing more can be read or written
  bool response_started = false;  // to the current request
  bool watch_pending = false;     // an async_wait for readable bytes is pending
  std::function<void()> on_disconnect;
};

Connection::Connection(TcpSocket socket, std::shared_ptr<Server::State> state)
    : socket(std::move(socket)),
      state(std::move(state)),
      peer(PeerAddress(this->socket)),
      guard(this->state->watchdog,
            [this] {
              error_code ignored;
              this->socket.cancel(ignored);
            }),
      memory(
          *this->state->memory,
          [this] {
            error_code ignored;
            this->socket.cancel(ignored);
          },
          [this] { return HasLeft(this->socket); }) {
  ++this->state->open_connections;
  ++this->state->connections_by_address[this->peer];
  error_code ignored;
  this->socket.non_blocking(true, ignored);
}

std::optional<RejectReason> Connection::ReasonToRefuse() const {
  const ServerLimits& limits = this->state->limits;
  if (this->state->open_connections > limits.max_connections) {
    return RejectReason::kTooManyConnections;
  }
  if (this->state->connections_by_address.at(this->peer) >
      limits.max_connections_per_address) {
    return RejectReason::kTooManyFromAddress;
  }
  return std::nullopt;
}

// Answers without the handler, after it has released what the request holds.
Task<void> Connection::Refuse(RejectReason reason) {
  this->wants_keep_alive = false;
  this->buffer = beast::flat_buffer();
  this->body = std::string();
  this->head_memory = 0;
  this->memory.TryResize(0);
  this->state->ReportReject(reason, this->peer);
  co_await this->Send(this->state->reject_handler(reason));
}

Task<void> Connection::Run() {
  if (const std::optional<RejectReason> reason = this->ReasonToRefuse()) {
    co_await this->Refuse(*reason);
    co_await this->LingeringClose();
    co_return;
  }
  bool keep_alive = true;
  while (!this->disconnected && keep_alive) {
    if (!co_await this->WaitForRequest()) break;
    const ActiveRequest active(*this->state);
    const std::optional<RejectReason> reject = co_await this->ReadRequest();
    this->guard.Disarm();
    if (this->head_response) {
      this->wants_keep_alive = false;
      Response response = std::move(*this->head_response);
      co_await this->Send(std::move(response));
    } else if (reject) {
      co_await this->Refuse(*reject);
    } else if (!this->disconnected && !this->ClosedBeforeHandling()) {
      co_await this->Handle();
    }
    this->on_disconnect = nullptr;
    this->request = Request();
    this->head_memory = 0;
    this->memory.TryResize(this->Held());
    this->memory.SetMayGiveUp(true);
    keep_alive = this->KeepAlive();
  }
  co_await this->LingeringClose();
  error_code ignored;
  this->socket.close(ignored);
}

// Closes the sending side and discards input until the client closes.
Task<void> Connection::LingeringClose() {
  error_code error;
  this->socket.shutdown(net::socket_base::shutdown_send, error);
  if (error || this->disconnected) co_return;
  this->guard.Arm(kLingerTimeout);
  std::array<char, kReadBytes> discarded{};
  while (!error && !this->guard.Expired()) {
    co_await this->socket.async_read_some(net::buffer(discarded),
                                          net::redirect_error(kAwait, error));
  }
}

void Connection::OnDisconnect(std::function<void()> notify) {
  this->on_disconnect = std::move(notify);
  if (!this->on_disconnect) return;
  if (this->buffer.size() > 0) return;  // a pipelined request
  this->WatchForDisconnect();
}

// At most one wait is pending for each connection. It stays pending across
// requests until bytes or the end of the stream arrive.
void Connection::WatchForDisconnect() {
  if (this->watch_pending) return;
  this->watch_pending = true;
  this->socket.async_wait(
      net::socket_base::wait_read,
      [self = this->shared_from_this()](const error_code& error) {
        self->watch_pending = false;
        if (error || !self->on_disconnect || !self->ClientClosed()) return;
        self->disconnected = true;
        const std::function<void()> notify =
            std::exchange(self->on_disconnect, nullptr);
        notify();
      });
}

// Peeks at the socket: true when the client has closed its sending side or the
// connection has failed.
bool Connection::ClientClosed() {
  char byte = 0;
  error_code error;
  this->socket.non_blocking(true, error);
  const std::size_t count = this->socket.receive(
      net::buffer(&byte, 1), net::socket_base::message_peek, error);
  return count == 0 && error != net::error::would_block;
}

// True when the client disconnected before its request was read, for example
// because a busy server read it late. Such a request must not be handled: no
// client waits for the response.
bool Connection::ClosedBeforeHandling() {
  if (this->buffer.size() > 0) return false;  // a pipelined request
  this->disconnected = this->ClientClosed();
  return this->disconnected;
}

// Waits for the first bytes of the next request. Returns false when the client
// closes, the idle timeout expires or the server drains.
Task<bool> Connection::WaitForRequest() {
  if (this->buffer.size() > 0) co_return true;
  this->buffer = beast::flat_buffer();
  this->memory.TryResize(0);
  this->idle = ++this->state->last_idle;
  this->state->idle_sockets.emplace(this->idle, &this->socket);
  this->guard.Arm(this->state->limits.idle_timeout);
  error_code error;
  co_await this->socket.async_wait(net::socket_base::wait_read,
                                   net::redirect_error(kAwait, error));
  this->state->idle_sockets.erase(this->idle);
  this->guard.Disarm();
  if (error) co_return false;
  // If it is given up, ReadRequest() refuses the request.
  if (co_await this->MakeRoom(nullptr)) this->Receive(error);
  co_return !error;
}

// Reads a request into `request`. Returns why it is rejected, if it is. Returns
// nullopt and sets `disconnected` when the client closes first.
Task<std::optional<RejectReason>> Connection::ReadRequest() {
  RequestParser parser;
  parser.header_limit(this->state->limits.max_header_bytes);
  parser.body_limit(this->state->limits.max_body_bytes);
  this->response_started = false;
  this->body_wire_bytes = 0;
  error_code error;
  co_await this->ReadPart(parser, false, this->state->limits.header_timeout,
                          error);
  if (!error && IsAmbiguous(parser.get())) co_return RejectReason::kMalformed;
  if (!error && this->state->head_handler) {
    this->head_response = this->state->head_handler(
        FromBeast(parser.get()), parser.content_length().value_or(0));
    if (this->head_response) co_return std::nullopt;
  }
  if (!error &&
      beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
    this->guard.Arm(this->state->limits.progress_timeout);
    bhttp::response<bhttp::empty_body> continue_response(
        bhttp::status::continue_, 11);
    co_await bhttp::async_write(this->socket, continue_response,
                                net::redirect_error(kAwait, error));
  }
  if (!error) {
    co_await this->ReadPart(parser, true, this->state->limits.body_timeout,
                            error);
  }
  this->guard.Disarm();
  if (!error) {
    this->wants_keep_alive = parser.keep_alive();
    const std::size_t more =
        this->body.size() * this->state->limits.handler_memory_factor;
    if (!co_await this->memory.Resize(this->Held() + more)) {
      co_return RejectReason::kNoMemory;
    }
    this->request = FromBeast(parser.get());
    this->request.body = std::exchange(this->body, std::string());
    co_return std::nullopt;
  }
  if (this->memory.GivenUp()) co_return RejectReason::kNoMemory;
  if (this->guard.Expired()) co_return RejectReason::kTimeout;
  co_return this->RejectReasonOf(error);
}

// Parses bytes of a request. Returns how many were parsed.
std::size_t Parse(RequestParser& parser, net::const_buffer bytes,
                  error_code& error) {
  try {
    const std::size_t count = parser.put(bytes, error);
    const bool is_incomplete =
        error == bhttp::error::need_more || error == bhttp::error::need_buffer;
    if (is_incomplete) error = {};
    return count;
  } catch (const std::length_error&) {
    // Beast stores fields of up to 64 KiB.
    error = bhttp::error::header_limit;
    return 0;
  }
}

// Parses what `buffer` holds, and appends the content to `body`, for which
// MakeRoom() has reserved the memory.
void Connection::ParseBuffered(RequestParser& parser, bool whole,
                               error_code& error) {
  auto& content = parser.get().body();
  content.data = this->state->decoded.data();
  content.size = this->state->decoded.size();
  content.more = true;
  const std::size_t count = Parse(parser, this->buffer.data(), error);
  this->buffer.consume(count);
  if (!whole) {
    this->head_memory += count;
    return;
  }
  this->body_wire_bytes += count;
  this->body.append(this->state->decoded.data(),
                    this->state->decoded.size() - content.size);
}

bool Connection::FramingExceeded() const {
  const std::uint64_t content = this->body.size();
  return this->body_wire_bytes > content + content * kFramingPerContentByte +
                                     this->state->limits.max_framing_bytes;
}

// Reserves the memory for the bytes of one read. `body`: the parser of the body
// that is read. Returns false when the connection is given up.
Task<bool> Connection::MakeRoom(const RequestParser* body) {
  std::size_t needed = 0;
  if (body != nullptr) {
    needed = this->body.size() + this->buffer.size() + kMessageReadBytes;
    std::size_t grown = std::max(
        needed, this->body.capacity() + this->body.capacity() / kGrowthDivisor);
    if (const auto length = body->content_length()) {
      needed = std::min<std::size_t>(needed, *length);
      grown = std::min<std::size_t>(grown, *length);
    }
    needed = needed > this->body.capacity() ? grown : 0;
  }
  const std::size_t read = 2 * this->buffer.size() + kMessageReadBytes;
  const std::size_t sum = this->Held() + read + needed;
  if (!this->memory.TryResize(sum)) {
    // The end of the stream needs no memory: it releases what others wait for.
    error_code ignored;
    if (this->socket.available(ignored) == 0) co_return true;
    if (!co_await this->memory.Resize(sum)) co_return false;
  }
  if (needed == 0) co_return true;
  // std::string::reserve() would at least double the capacity.
  std::string larger;
  larger.reserve(needed);
  larger += this->body;
  this->body = std::move(larger);
  co_return true;
}

// Reads the bytes that have arrived.
void Connection::Receive(error_code& error) {
  const std::size_t count =
      this->socket.read_some(net::buffer(this->state->received), error);
  if (error == net::error::would_block) error = {};
  if (count == 0) return;
  this->memory.OnProgress(count);
  net::buffer_copy(this->buffer.prepare(count),
                   net::buffer(this->state->received, count));
  this->buffer.commit(count);
}

// Reads the head of a request or, if `whole`, the rest of it. Sets `error` if
// the connection is given up, too.
Task<void> Connection::ReadPart(RequestParser& parser, bool whole,
                                coordination::Duration timeout,
                                error_code& error) {
  parser.eager(whole);
  bool body_begun = false;
  coordination::TimePoint end = Now() + timeout;
  while (true) {
    const bool complete = whole ? parser.is_done() : parser.is_header_done();
    if (complete) break;
    const std::size_t buffered = this->buffer.size();
    const bool may_parse =
        buffered > 0 && (!whole || MayParseBody(parser, buffered, body_begun));
    if (may_parse) {
      body_begun = whole;
      this->ParseBuffered(parser, whole, error);
      if (error) co_return;
      if (this->buffer.size() < buffered) continue;
    }
    if (whole &&
        (this->buffer.size() > kMaxFramingBytes || this->FramingExceeded())) {
      error = bhttp::error::header_limit;
      co_return;
    }
    if (this->buffer.size() == 0) this->buffer = beast::flat_buffer();
    this->memory.TryResize(this->Held());
    this->guard.Arm(
        std::min(this->state->limits.progress_timeout, end - Now()));
    co_await this->socket.async_wait(net::socket_base::wait_read,
                                     net::redirect_error(kAwait, error));
    if (error) co_return;
    // The time without memory is not the client's.
    this->guard.Disarm();
    const coordination::TimePoint wait_begin = Now();
    if (!co_await this->MakeRoom(whole ? &parser : nullptr)) {
      error = net::error::no_memory;
      co_return;
    }
    end += Now() - wait_begin;
    this->Receive(error);
    if (error == net::error::eof) parser.put_eof(error);
    if (error) co_return;
  }
  if (whole) co_return;
  this->head_memory = HeadMemory(parser.get(), this->head_memory);
  if (!co_await this->memory.Resize(this->Held())) {
    error = net::error::no_memory;
  }
}

// The reason to reject a request that could not be read. Returns nullopt and
// sets `disconnected` when the connection has ended.
std::optional<RejectReason> Connection::RejectReasonOf(
    const error_code& error) {
  if (error == bhttp::error::header_limit) {
    return RejectReason::kHeadersTooLarge;
  }
  if (error == bhttp::error::body_limit) return RejectReason::kBodyTooLarge;
  const bool is_parse_error =
      error.category() ==
      bhttp::make_error_code(bhttp::error::bad_line_ending).category();
  const bool is_end_of_stream = error == bhttp::error::end_of_stream ||
                                error == bhttp::error::partial_message;
  if (is_parse_error && !is_end_of_stream) return RejectReason::kMalformed;
  this->disconnected = true;
  return std::nullopt;
}

// Runs the handler. If it fails, rejects the request, or closes the connection
// when part of a response has been sent.
Task<void> Connection::Handle() {
  bool failed = false;
  this->memory.SetMayGiveUp(false);
  try {
    co_await this->state->handler(*this);
  } catch (const std::exception& exception) {
    failed = true;
    this->state->ReportException(exception.what());
  }
  if (!failed && this->response_started) co_return;
  if (this->response_started) {
    this->Abort();
    co_return;
  }
  this->state->ReportReject(RejectReason::kHandlerFailed, this->peer);
  co_await this->Send(
      this->state->reject_handler(RejectReason::kHandlerFailed));
}

void Connection::AfterWrite(const error_code& error) {
  this->memory.SetMayGiveUp(false);
  if (!error) return;
  this->disconnected = true;
  if (!this->memory.GivenUp()) return;
  this->state->ReportReject(RejectReason::kUnread, this->peer);
  this->Abort();
}

Task<bool> Connection::Send(Response response) {
  if (this->disconnected) co_return false;
  this->response_started = true;
  bhttp::response<bhttp::string_body> message;
  SetHead(message, response, this->KeepAlive());
  message.body() = std::move(response.body);
  message.prepare_payload();
  bhttp::response_serializer<bhttp::string_body> serializer(message);
  error_code error;
  this->guard.Arm(this->state->limits.write_timeout);
  this->memory.SetMayGiveUp(true);
  while (!error && !serializer.is_done()) {
    this->memory.OnProgress(co_await bhttp::async_write_some(
        this->socket, serializer, net::redirect_error(kAwait, error)));
  }
  this->AfterWrite(error);
  co_return !error;
}

Task<bool> Connection::BeginStream(Response head) {
  if (this->disconnected) co_return false;
  this->response_started = true;
  bhttp::response<bhttp::empty_body> message;
  SetHead(message, head, this->KeepAlive());
  message.chunked(true);
  bhttp::response_serializer<bhttp::empty_body> serializer(message);
  error_code error;
  this->guard.Arm(this->state->limits.write_timeout);
  this->memory.SetMayGiveUp(true);
  co_await bhttp::async_write_header(this->socket, serializer,
                                     net::redirect_error(kAwait, error));
  this->AfterWrite(error);
  co_return !error;
}

Task<bool> Connection::Write(std::string_view bytes) {
  if (this->disconnected) co_return false;
  if (bytes.empty()) co_return true;
  error_code error;
  this->guard.Arm(this->state->limits.write_timeout);
  this->memory.SetMayGiveUp(true);
  co_await net::async_write(
      this->socket, bhttp::make_chunk(net::buffer(bytes.data(), bytes.size())),
      net::redirect_error(kAwait, error));
  this->AfterWrite(error);
  co_return !error;
}

Task<bool> Connection::EndStream() {
  if (this->disconnected) co_return false;
  error_code error;
  this->guard.Arm(this->state->limits.write_timeout);
  co_await net::async_write(this->socket, bhttp::make_chunk_last(),
                            net::redirect_error(kAwait, error));
  this->disconnected = this->disconnected || static_cast<bool>(error);
  co_return !error;
}

void Connection::Abort() {
  this->disconnected = true;
  error_code ignored;
  this->socket.close(ignored);
}

Task<void> Serve(std::shared_ptr<Connection> connection) {
  co_await connection->Run();
}

Task<void> AcceptConnections(std::shared_ptr<Server::State> state) {
  Timer timer(*state->io);
  while (!state->draining) {
    error_code error;
    TcpSocket socket = co_await state->acceptor->async_accept(
        net::redirect_error(kAwait, error));
    if (error == net::error::operation_aborted) co_return;
    if (error == net::error::connection_aborted) continue;
    if (error) {
      // Without descriptors each attempt fails at once. The connection that has
      // been idle longest makes room for one that may bring a request.
      state->ReportReject(RejectReason::kNotAccepted, {});
      error_code ignored;
      if (!state->idle_sockets.empty()) {
        state->idle_sockets.begin()->second->cancel(ignored);
      }
      timer.expires_after(kAcceptPause);
      co_await timer.async_wait(net::redirect_error(kAwait, error));
      continue;
    }
    if (state->open_connections >=
        state->limits.max_connections + kMaxRefusedConnections) {
      state->ReportReject(RejectReason::kNotAccepted, PeerAddress(socket));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto connection = std::make_shared<Connection>(std::move(socket), state);
    Spawn(
        *state->io, Serve(std::move(connection)),
        [state](std::string_view message) { state->ReportException(message); });
  }
}

}  // namespace

std::string_view NameOf(RejectReason reason) {
  static constexpr std::array<std::string_view,
                              static_cast<std::size_t>(RejectReason::kCount)>
      kNames{"malformed",   "headers_too_large", "body_too_large", "timeout",
             "connections", "handler_failed",    "memory",         "address",
             "unread",      "not_accepted"};
  return kNames.at(static_cast<std::size_t>(reason));
}

Server::Server(net::io_context& io, ServerLimits limits, Handler handler,
               RejectHandler reject_handler, ExceptionHandler on_exception,
               std::shared_ptr<ClientMemory> memory)
    : state(std::make_shared<State>(io)) {
  if (!memory) {
    policy::MemoryLimits unlimited;
    unlimited.bytes = INT64_MAX / 2;
    memory = std::make_shared<ClientMemory>(io, unlimited);
  }
  this->state->memory = std::move(memory);
  this->state->limits = limits;
  this->state->handler = std::move(handler);
  this->state->reject_handler = std::move(reject_handler);
  this->state->on_exception = std::move(on_exception);
}

Server::~Server() { this->Drain(); }

std::uint16_t Server::Listen(std::string_view address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) return 0;
  try {
    this->state->acceptor.emplace(*this->state->io, *endpoint);
    this->state->acceptor->listen(net::socket_base::max_listen_connections);
  } catch (const boost::system::system_error&) {
    this->state->acceptor.reset();
    return 0;
  }
  SpawnBackgroundTask(
      *this->state->io,
      [state = this->state] { return AcceptConnections(state); },
      [state = this->state](std::string_view message) {
        state->ReportException(message);
      });
  return this->state->acceptor->local_endpoint().port();
}

void Server::SetLimits(const ServerLimits& limits) {
  this->state->limits = limits;
}

void Server::SetHeadHandler(HeadHandler handler) {
  this->state->head_handler = std::move(handler);
}

void Server::SetRejectObserver(RejectObserver observer) {
  this->state->reject_observer = std::move(observer);
}

void Server::DisableKeepAlive(bool disable) {
  this->state->keep_alive_disabled = disable;
}

void Server::Drain() {
  this->state->draining = true;
  error_code ignored;
  if (this->state->acceptor) this->state->acceptor->close(ignored);
  for (const auto& [order, socket] : this->state->idle_sockets) {
    socket->cancel(ignored);
  }
}

std::size_t Server::OpenConnections() const {
  return this->state->open_connections;
}

std::size_t Server::ActiveRequests() const {
  return this->state->active_requests;
}

}  // namespace hornbeamspool::http
