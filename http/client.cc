#include "http/client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/address.h"
#include "http/chunked_body.h"
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

using Stream = beast::basic_stream<tcp, Executor>;

// Limit of the pool for each address.
constexpr std::size_t kMaxIdleConnections = 64;

// Idle timeout for servers that send no `Keep-Alive: timeout`: half of the
// shortest keep-alive timeout of servers in common use (5 s).
constexpr coordination::Duration kDefaultIdleTimeout =
    std::chrono::milliseconds(2500);

// Limit of the idle timeout that a server announces.
constexpr std::int64_t kMaxIdleSeconds = 86'400;

// Subtracted from the timeout that a server announces, so that a request
// arrives before the server closes the connection.
constexpr coordination::Duration kIdleTimeoutMargin =
    std::chrono::milliseconds(500);

// TCP_USER_TIMEOUT: a connection fails when sent bytes stay unacknowledged for
// this time.
constexpr unsigned kTcpUserTimeoutMs = 3000;

// Interim responses (1xx) count as errors: the client doesn't ask for them.
constexpr unsigned kMinFinalStatus = 200;

// Size of one read from the socket.
constexpr std::size_t kReadBytes = 8 * 1024;

// Whether a request of this method names the length of a body that is empty
// (RFC 9110, 8.6).
bool MayHaveBody(bhttp::verb method) {
  return method == bhttp::verb::post || method == bhttp::verb::put ||
         method == bhttp::verb::options;
}

// Refers to the body where it lies.
using RequestMessage = bhttp::request<bhttp::span_body<const char>>;

RequestMessage ToBeast(std::string_view address, const Request& request) {
  RequestMessage message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (request.HeaderValue("Host").empty()) {
    message.set(bhttp::field::host, address);
  }
  for (const Header& header : request.headers) {
    message.insert(header.name, header.value);
  }
  const std::string_view body = request.Body();
  message.body() = {body.data(), body.size()};
  // prepare_payload() throws for TRACE with a body.
  if (!body.empty() || MayHaveBody(message.method())) {
    message.content_length(body.size());
  }
  return message;
}

}  // namespace

void Canceller::Cancel() {
  this->cancelled = true;
  const std::function<void()> close =
      std::exchange(this->close_handler, nullptr);
  if (close) close();
}

void Canceller::SetCloseHandler(std::function<void()> close) {
  this->close_handler = std::move(close);
}

namespace {

// Separates the server's address from the tunnel host's in the pool's keys.
constexpr std::string_view kThrough = " by ";

std::string_view TargetOf(std::string_view pool_address) {
  return pool_address.substr(0, pool_address.find(kThrough));
}

// True when an idle connection is still open and no bytes have arrived on it.
// Unexpected bytes would be taken for the response to the next request.
bool IsReusable(Stream& stream) {
  char byte = 0;
  error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek,
                          error);
  return error == net::error::would_block;
}

}  // namespace

// Idle connections, and the number of open ones, for each address.
struct Client::ConnectionPool {
  struct IdleConnection {
    std::unique_ptr<Stream> stream;
    ConnectionUse use;
    coordination::TimePoint idle_since;
    coordination::TimePoint usable_until;  // by the server's idle timeout
  };

  explicit ConnectionPool(net::io_context& io) : io(&io), watchdog(io) {}

  // Removes the most recently used idle connection that is still usable and
  // returns it; its stream is null when there is none. Closes the unusable
  // connections that it comes across.
  IdleConnection Acquire(std::string_view address, const FetchOptions& options,
                         coordination::TimePoint now) {
    auto found = this->idle.find(address);
    if (found == this->idle.end()) return {};
    auto& streams = found->second;
    while (!streams.empty()) {
      IdleConnection last = std::move(streams.back());
      streams.pop_back();
      const bool within_timeouts =
          now < last.usable_until &&
          now - last.idle_since <= options.max_idle_time;
      if (within_timeouts && IsReusable(*last.stream)) {
        return last;
      }
      this->OnClosed(address);
    }
    return {};
  }

  // Puts a connection back, to be usable for `idle_timeout`. Closes it when the
  // pool for the address is full.
  void Release(std::string_view address, std::unique_ptr<Stream> stream,
               ConnectionUse use, coordination::Duration idle_timeout,
               coordination::TimePoint now) {
    auto& streams = this->idle[std::string(address)];
    if (streams.size() >= kMaxIdleConnections) {
      this->OnClosed(address);
      return;
    }
    ++use.earlier_requests;
    streams.push_back({std::move(stream), use, now, now + idle_timeout});
  }

  // Closes the connection to `address` that has been idle longest, if any.
  void CloseOldestIdle(std::string_view address) {
    const auto found = this->idle.find(address);
    if (found == this->idle.end() || found->second.empty()) return;
    found->second.erase(found->second.begin());
    this->OnClosed(address);
  }

  // Closes the idle connections whose server is at `target`.
  void CloseIdle(std::string_view target) {
    for (auto& [address, streams] : this->idle) {
      if (TargetOf(address) != target) continue;
      for (std::size_t i = 0; i < streams.size(); ++i) this->OnClosed(address);
      streams.clear();
    }
  }

  std::size_t OpenCount(std::string_view address) const {
    const auto found = this->open.find(address);
    return found == this->open.end() ? 0 : found->second;
  }

  // Counts a connection as closed.
  void OnClosed(std::string_view address) {
    const auto found = this->open.find(address);
    if (found == this->open.end()) return;
    if (--found->second == 0) this->open.erase(found);
  }

  net::io_context* io;
  Watchdog watchdog;
  std::map<std::string, std::vector<IdleConnection>, std::less<>> idle;
  // Number of open connections, including idle ones and connection attempts.
  std::map<std::string, std::size_t, std::less<>> open;
  std::uint64_t opened = 0;  // connections so far
};

struct ResponseStream::State {
  ~State() {
    if (this->options.canceller) {
      this->options.canceller->SetCloseHandler(nullptr);
    }
    if (this->stream) this->pool->OnClosed(this->address);
  }

  std::shared_ptr<Client::ConnectionPool> pool;
  std::string target;   // the address of the server
  std::string address;  // under which the pool keeps the connection
  std::unique_ptr<Stream> stream;
  beast::flat_buffer buffer;
  // Of the response that is read; always set while the stream is in use.
  std::optional<bhttp::response_parser<bhttp::buffer_body>> parser;
  FetchOptions options;
  ConnectionUse use;
  coordination::TimePoint head_deadline{};  // of the request's response
  Response head;
  std::optional<Watchdog::Guard> guard;
  std::size_t framing_bytes = 0;  // received since the last byte of the body
  bool body_begun = false;        // the parser has got bytes of the body

  void ExpectResponse() {
    this->parser.emplace();
    this->parser->body_limit(this->options.max_body_bytes);
    this->head = {};
    this->framing_bytes = 0;
    this->body_begun = false;
  }
  // Makes the watchdog and the canceller close the connection.
  void EnableCancellation() {
    const auto close = [this] {
      error_code ignored;
      this->stream->socket().close(ignored);
    };
    this->guard.emplace(this->pool->watchdog, close);
    if (this->options.canceller) {
      this->options.canceller->SetCloseHandler(close);
    }
  }
  // Limits the next operation to `timeout` and the deadline of the call.
  void Arm(coordination::Duration timeout, coordination::TimePoint now) {
    this->guard->Arm(std::min(timeout, this->options.deadline - now));
  }
  bool ResponseStarted() const {
    return this->parser->got_some() || this->buffer.size() > 0;
  }
  FetchStatus FailureStatus() const {
    return this->guard->Expired() ? FetchStatus::kTimeout
                                  : FetchStatus::kBroken;
  }
};

namespace {

// How long a connection may stay idle in the pool, by the server's `Keep-Alive`
// header.
coordination::Duration IdleTimeout(const Response& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = head.HeaderValue("Keep-Alive");
  const std::size_t position = value.find(kTimeout);
  std::int64_t seconds = 0;
  if (position == std::string_view::npos) return kDefaultIdleTimeout;
  const std::string_view digits = value.substr(position + kTimeout.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  const auto limited = std::clamp<std::int64_t>(seconds, 0, kMaxIdleSeconds);
  return std::chrono::seconds(limited) - kIdleTimeoutMargin;
}

}  // namespace

ResponseStream::ResponseStream(std::unique_ptr<State> state)
    : state(std::move(state)) {}

ResponseStream::~ResponseStream() {
  State& state = *this->state;
  if (!state.stream) return;
  state.guard.reset();
  const bool reusable = state.parser->is_done() && state.parser->keep_alive() &&
                        state.buffer.size() == 0 &&
                        state.stream->socket().is_open();
  if (!reusable) return;
  state.pool->Release(state.address, std::move(state.stream), state.use,
                      IdleTimeout(state.head), Now());
}

void ResponseStream::Close() {
  error_code ignored;
  this->state->stream->socket().close(ignored);
}

const Response& ResponseStream::Head() const { return this->state->head; }

const ConnectionUse& ResponseStream::Connection() const {
  return this->state->use;
}

namespace {

// Parses the buffered bytes and copies body bytes to `output`. Returns how many
// it copied.
std::size_t ParseBuffered(ResponseStream::State& state, std::span<char> output,
                          error_code& error) {
  auto& body = state.parser->get().body();
  body.data = output.data();
  body.size = output.size();
  body.more = true;
  while (!state.parser->is_done() && state.buffer.size() > 0) {
    if (!MayParseBody(*state.parser, state.buffer.size(), state.body_begun)) {
      break;
    }
    state.body_begun = true;
    const std::size_t parsed = state.parser->put(state.buffer.data(), error);
    state.buffer.consume(parsed);
    if (error) break;
  }
  const bool is_incomplete =
      error == bhttp::error::need_more || error == bhttp::error::need_buffer;
  if (is_incomplete) error = {};
  return output.size() - body.size;
}

// True when `text` contains a status line, as `HTTP/1.1 200`.
bool ContainsStatusLine(std::string_view text) {
  constexpr std::string_view kVersion = "HTTP/1.";
  constexpr std::size_t kStatusLineBytes = 12;
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  while (true) {
    const std::size_t at = text.find(kVersion);
    if (at == std::string_view::npos) return false;
    const std::string_view line = text.substr(at);
    if (line.size() >= kStatusLineBytes && is_digit(line[7]) &&
        line[8] == ' ' &&
        std::all_of(line.begin() + 9, line.begin() + kStatusLineBytes,
                    is_digit)) {
      return true;
    }
    text.remove_prefix(at + kVersion.size());
  }
}

// True when the head of one response was cut off and that of another follows,
// so that fields of both stand in it.
template <typename Head>
bool IsSpliced(const Head& head) {
  if (ContainsStatusLine(head.reason())) return true;
  return std::any_of(head.begin(), head.end(), [](const auto& field) {
    return ContainsStatusLine(field.value());
  });
}

// Reads the head of the next response on the connection.
Task<FetchStatus> ReadHead(ResponseStream::State& state) {
  error_code error;
  auto& socket = state.stream->socket();
  const coordination::TimePoint now = Now();
  state.Arm(state.head_deadline - now, now);
  co_await bhttp::async_read_header(socket, state.buffer, *state.parser,
                                    net::redirect_error(kAwait, error));
  if (error) co_return state.FailureStatus();
  state.guard->Disarm();
  state.parser->eager(true);
  const auto& head = state.parser->get();
  if (head.result_int() < kMinFinalStatus || IsSpliced(head)) {
    co_return FetchStatus::kBroken;
  }
  state.head.status = static_cast<std::uint16_t>(head.result_int());
  for (const auto& field : head) {
    state.head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  co_return FetchStatus::kOk;
}

// Reads the response to its end, and the head of the next one.
Task<FetchStatus> ReadNextHead(ResponseStream& response,
                               ResponseStream::State& state) {
  std::array<char, kReadBytes> discarded{};
  while (true) {
    const ReadResult read = co_await response.Read(discarded);
    if (read.status != FetchStatus::kOk) co_return read.status;
    if (read.count == 0) break;
  }
  if (!state.parser->keep_alive()) co_return FetchStatus::kBroken;
  state.ExpectResponse();
  co_return co_await ReadHead(state);
}

// Sends the request and reads the head of the response.
Task<FetchStatus> SendAndReadHead(ResponseStream::State& state,
                                  const RequestMessage& message) {
  error_code error;
  const coordination::TimePoint now = Now();
  state.head_deadline = now + state.options.first_byte_timeout;
  state.Arm(state.options.first_byte_timeout, now);
  co_await bhttp::async_write(state.stream->socket(), message,
                              net::redirect_error(kAwait, error));
  if (error) co_return state.FailureStatus();
  co_return co_await ReadHead(state);
}

}  // namespace

Task<ReadResult> ResponseStream::Read(std::span<char> buffer) {
  State& state = *this->state;
  while (true) {
    error_code error;
    const std::size_t count = ParseBuffered(state, buffer, error);
    if (error) co_return ReadResult{FetchStatus::kBroken, 0};
    if (count > 0) state.framing_bytes = 0;
    if (state.framing_bytes > kMaxFramingBytes) {
      co_return ReadResult{FetchStatus::kBroken, 0};
    }
    if (count > 0 || state.parser->is_done()) {
      co_return ReadResult{FetchStatus::kOk, count};
    }
    state.Arm(state.options.read_timeout, Now());
    const std::size_t received =
        co_await state.stream->socket().async_read_some(
            state.buffer.prepare(kReadBytes),
            net::redirect_error(kAwait, error));
    state.guard->Disarm();
    state.buffer.commit(received);
    state.framing_bytes += received;
    if (error == net::error::eof) {
      state.parser->put_eof(error);
      const bool complete = !error && state.parser->is_done();
      if (complete && !state.options.tunnel) continue;
      co_return ReadResult{FetchStatus::kBroken, 0};
    }
    if (error) co_return ReadResult{state.FailureStatus(), 0};
  }
}

Task<FetchStatus> ResponseStream::ReadNext() {
  const FetchStatus status = co_await ReadNextHead(*this, *this->state);
  // The response to the request may still come.
  if (status != FetchStatus::kOk) this->Close();
  co_return status;
}

Client::Client(net::io_context& io)
    : pool(std::make_shared<ConnectionPool>(io)) {}

Client::~Client() = default;

namespace {

struct ConnectResult {
  std::unique_ptr<Stream> stream;  // null on failure
  bool refused = false;

  FetchStatus Status() const {
    if (this->stream) return FetchStatus::kOk;
    return this->refused ? FetchStatus::kRefused : FetchStatus::kUnreachable;
  }
};

Task<ConnectResult> Connect(net::io_context& io, std::string_view address,
                            const FetchOptions& options) {
  ConnectResult result;
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) co_return result;
  auto stream = std::make_unique<Stream>(io);
  if (options.canceller) {
    options.canceller->SetCloseHandler([&stream] { stream->cancel(); });
  }
  stream->expires_after(
      std::min(options.connect_timeout, options.deadline - Now()));
  error_code error;
  co_await stream->async_connect(*endpoint, net::redirect_error(kAwait, error));
  if (options.canceller) options.canceller->SetCloseHandler(nullptr);
  result.refused = error == net::error::connection_refused;
  if (error) co_return result;
  if (options.canceller && options.canceller->Cancelled()) co_return result;
  stream->expires_never();
  stream->socket().set_option(tcp::no_delay(true), error);
  ::setsockopt(stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
  result.stream = std::move(stream);
  co_return result;
}

// Asks the host at the other end for a tunnel to `target`.
Task<FetchStatus> OpenTunnel(Stream& stream, std::string_view target,
                             const FetchOptions& options) {
  const std::string request = options.tunnel->make_request(target);
  std::string message{static_cast<char>(request.size() / 256),
                      static_cast<char>(request.size() % 256)};
  message += request;
  std::array<char, 1> reply{};
  error_code error;
  if (options.canceller) {
    options.canceller->SetCloseHandler([&stream] { stream.cancel(); });
  }
  // The host takes as long for its connection as this call for one.
  stream.expires_after(
      std::min(2 * options.connect_timeout, options.deadline - Now()));
  co_await net::async_write(stream, net::buffer(message),
                            net::redirect_error(kAwait, error));
  if (!error) {
    co_await net::async_read(stream, net::buffer(reply),
                             net::redirect_error(kAwait, error));
  }
  if (options.canceller) options.canceller->SetCloseHandler(nullptr);
  stream.expires_never();
  if (error) co_return FetchStatus::kNoTunnel;
  switch (static_cast<TunnelStatus>(reply[0])) {
    case TunnelStatus::kConnected:
      co_return FetchStatus::kOk;
    case TunnelStatus::kRefused:
      co_return FetchStatus::kRefused;
    case TunnelStatus::kUnreachable:
      co_return FetchStatus::kUnreachable;
    case TunnelStatus::kWithheld:
      co_return FetchStatus::kWithheld;
    default:
      co_return FetchStatus::kNoTunnel;
  }
}

// Opens a new connection for the call, within the limit of connections.
Task<FetchStatus> OpenConnection(ResponseStream::State& state) {
  Client::ConnectionPool& pool = *state.pool;
  if (state.options.fresh_connection) pool.CloseOldestIdle(state.address);
  if (pool.OpenCount(state.address) >= state.options.max_connections) {
    co_return FetchStatus::kConnectionLimit;
  }
  ++pool.open[state.address];
  state.use = {++pool.opened, 0, Now()};
  const FetchOptions& options = state.options;
  ConnectResult result = co_await Connect(
      *pool.io, options.tunnel ? options.tunnel->address : state.target,
      options);
  FetchStatus status = result.Status();
  const bool cancelled = options.canceller && options.canceller->Cancelled();
  if (options.tunnel) {
    if (status == FetchStatus::kOk) {
      status = co_await OpenTunnel(*result.stream, state.target, options);
    } else {
      status = FetchStatus::kNoTunnel;
    }
  } else if (options.on_connect && !cancelled) {
    options.on_connect(status);
  }
  state.stream = std::move(result.stream);
  if (status != FetchStatus::kOk) {
    state.stream.reset();
    pool.OnClosed(state.address);
  }
  co_return status;
}

}  // namespace

Task<OpenResult> Client::Open(std::string_view address, const Request& request,
                              const FetchOptions& options) {
  const auto message = ToBeast(address, request);
  bool pooled = !options.fresh_connection;
  bool sent = false;
  while (true) {
    auto state = std::make_unique<ResponseStream::State>();
    state->pool = this->pool;
    state->target = std::string(address);
    state->address = state->target;
    if (options.tunnel) {
      state->address += std::string(kThrough) + options.tunnel->address;
    }
    state->options = options;
    state->ExpectResponse();
    if (pooled) {
      ConnectionPool::IdleConnection idle =
          this->pool->Acquire(state->address, options, Now());
      state->stream = std::move(idle.stream);
      state->use = idle.use;
    }
    pooled = state->stream != nullptr;
    if (!pooled) {
      const FetchStatus status = co_await OpenConnection(*state);
      if (status != FetchStatus::kOk) {
        // After a resend: the first attempt may have arrived at the server.
        co_return OpenResult{sent ? FetchStatus::kBroken : status, nullptr};
      }
    }
    if (options.confirm_send && !options.confirm_send()) {
      co_return OpenResult{sent ? FetchStatus::kBroken : FetchStatus::kWithheld,
                           nullptr};
    }
    state->EnableCancellation();
    const FetchStatus status = co_await SendAndReadHead(*state, message);
    if (status == FetchStatus::kOk) {
      co_return OpenResult{status,
                           std::make_unique<ResponseStream>(std::move(state))};
    }
    sent = true;
    const bool cancelled = options.canceller && options.canceller->Cancelled();
    const bool resend = pooled && status == FetchStatus::kBroken &&
                        !state->ResponseStarted() && !cancelled &&
                        options.may_resend && options.may_resend();
    if (!resend) co_return OpenResult{status, nullptr};
    pooled = false;
  }
}

void Client::CloseIdle(std::string_view address) {
  this->pool->CloseIdle(address);
}

Task<FetchStatus> Client::Probe(std::string address,
                                coordination::Duration timeout) {
  FetchOptions options;
  options.connect_timeout = timeout;
  const ConnectResult result =
      co_await Connect(*this->pool->io, address, options);
  co_return result.Status();
}

Task<FetchResult> Client::Fetch(std::string_view address,
                                const Request& request,
                                const FetchOptions& options) {
  OpenResult opened = co_await this->Open(address, request, options);
  FetchResult result;
  result.status = opened.status;
  if (opened.status != FetchStatus::kOk) co_return result;
  result.response = opened.stream->Head();
  std::vector<char> buffer(16 * 1024);
  while (true) {
    const ReadResult read = co_await opened.stream->Read(buffer);
    result.status = read.status;
    if (read.status != FetchStatus::kOk || read.count == 0) break;
    // A string that grows doubles its capacity.
    if (options.reserve_body && !options.reserve_body(2 * read.count)) {
      result.status = FetchStatus::kBroken;
      break;
    }
    result.response.body.append(buffer.data(), read.count);
  }
  co_return result;
}

}  // namespace hornbeamspool::http
