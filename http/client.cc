#include "http/client.h"

#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
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

// Idle connections kept for each address.
constexpr std::size_t kMaxIdle = 64;

// An idle connection whose server names no time is kept this long: half of
// the shortest time that servers in common use keep theirs (5 s).
constexpr coordination::Duration kLongestIdle = std::chrono::milliseconds(2500);

// Taken off a server's own idle time, for the request's way to it.
constexpr coordination::Duration kIdleMargin = std::chrono::milliseconds(500);

// Sent bytes that nobody acknowledges end their connection after this time.
constexpr unsigned kUnacknowledgedMs = 3000;

// Bytes between two pieces of a body, or after the last: sizes of chunks and
// trailers are short; more is no answer.
constexpr std::size_t kMostFraming = 16 * 1024;

// Heads of interim answers (1xx) are not asked for.
constexpr unsigned kFirstFinalStatus = 200;

// Bytes asked of the socket at once.
constexpr std::size_t kReadBytes = 8 * 1024;

bhttp::request<bhttp::string_body> ToBeast(std::string_view address,
                                           const Request& request) {
  bhttp::request<bhttp::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  if (request.HeaderValue("Host").empty()) {
    message.set(bhttp::field::host, address);
  }
  for (const Header& header : request.headers) {
    message.insert(header.name, header.value);
  }
  message.body() = request.body;
  message.prepare_payload();
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

// True when nothing has arrived on an idle connection and it is still open.
// Bytes that nobody asked for belong to no answer.
bool IsQuiet(Stream& stream) {
  char byte = 0;
  error_code error;
  stream.socket().non_blocking(true, error);
  stream.socket().receive(net::buffer(&byte, 1), net::socket_base::message_peek,
                          error);
  return error == net::error::would_block;
}

}  // namespace

struct Client::Pool {
  // An idle connection and the time until which its server keeps it.
  struct Idle {
    std::unique_ptr<Stream> stream;
    coordination::TimePoint since;
    coordination::TimePoint usable_until;
  };

  explicit Pool(net::io_context& io) : io(&io), watchdog(io) {}

  std::unique_ptr<Stream> Take(std::string_view address,
                               const FetchOptions& options,
                               coordination::TimePoint now) {
    auto found = this->idle.find(address);
    if (found == this->idle.end()) return nullptr;
    auto& streams = found->second;
    while (!streams.empty()) {
      Idle last = std::move(streams.back());
      streams.pop_back();
      const bool fresh =
          now < last.usable_until && now - last.since <= options.max_idle_time;
      if (fresh && IsQuiet(*last.stream)) return std::move(last.stream);
      this->Closed(address);
    }
    return nullptr;
  }

  void Give(std::string_view address, std::unique_ptr<Stream> stream,
            coordination::Duration kept, coordination::TimePoint now) {
    auto& streams = this->idle[std::string(address)];
    if (streams.size() >= kMaxIdle) {
      this->Closed(address);
      return;
    }
    streams.push_back({std::move(stream), now, now + kept});
  }

  std::size_t OpenCount(std::string_view address) const {
    const auto found = this->open.find(address);
    return found == this->open.end() ? 0 : found->second;
  }

  void Closed(std::string_view address) {
    const auto found = this->open.find(address);
    if (found == this->open.end()) return;
    if (--found->second == 0) this->open.erase(found);
  }

  net::io_context* io;
  Watchdog watchdog;
  std::map<std::string, std::vector<Idle>, std::less<>> idle;
  std::map<std::string, std::size_t, std::less<>> open;  // idle ones included
};

struct ResponseStream::State {
  ~State() {
    if (this->options.canceller)
      this->options.canceller->SetCloseHandler(nullptr);
    if (this->stream) this->pool->Closed(this->address);
  }

  std::shared_ptr<Client::Pool> pool;
  std::string address;
  std::unique_ptr<Stream> stream;
  beast::flat_buffer buffer;
  bhttp::response_parser<bhttp::buffer_body> parser;
  FetchOptions options;
  Response head;
  std::optional<Watchdog::Guard> guard;
  std::size_t framing = 0;  // received since the last byte of the body

  void Watch() {
    const auto close = [this] {
      error_code ignored;
      this->stream->socket().close(ignored);
    };
    this->guard.emplace(this->pool->watchdog, close);
    if (this->options.canceller)
      this->options.canceller->SetCloseHandler(close);
  }
  // Arms the guard for one operation, within the deadline of the call.
  void Arm(coordination::Duration longest, coordination::TimePoint now) {
    this->guard->Arm(std::min(longest, this->options.deadline - now));
  }
  bool AnswerBegan() const {
    return this->parser.got_some() || this->buffer.size() > 0;
  }
  FetchStatus Failure() const {
    return this->guard->Expired() ? FetchStatus::kTimeout
                                  : FetchStatus::kBroken;
  }
};

namespace {

// How long the server keeps the connection idle by its own word, less a part
// for the way there.
coordination::Duration KeptIdle(const Response& head) {
  constexpr std::string_view kTimeout = "timeout=";
  const std::string_view value = head.HeaderValue("Keep-Alive");
  const std::size_t at = value.find(kTimeout);
  std::int64_t seconds = 0;
  if (at == std::string_view::npos) return kLongestIdle;
  const std::string_view digits = value.substr(at + kTimeout.size());
  std::from_chars(digits.data(), digits.data() + digits.size(), seconds);
  return std::chrono::seconds(seconds) - kIdleMargin;
}

}  // namespace

ResponseStream::ResponseStream(std::unique_ptr<State> state)
    : state(std::move(state)) {}

ResponseStream::~ResponseStream() {
  State& state = *this->state;
  if (!state.stream) return;
  state.guard.reset();
  const bool reusable = state.parser.is_done() && state.parser.keep_alive() &&
                        state.buffer.size() == 0 &&
                        state.stream->socket().is_open();
  if (!reusable) return;
  state.pool->Give(state.address, std::move(state.stream), KeptIdle(state.head),
                   Now());
}

void ResponseStream::Close() {
  error_code ignored;
  this->state->stream->socket().close(ignored);
}

const Response& ResponseStream::Head() const { return this->state->head; }

namespace {

// Parses what the buffer holds into `into`. Returns the bytes of the body.
std::size_t ParseBuffered(ResponseStream::State& state, std::span<char> into,
                          error_code& error) {
  auto& body = state.parser.get().body();
  body.data = into.data();
  body.size = into.size();
  body.more = true;
  while (!state.parser.is_done() && state.buffer.size() > 0) {
    const std::size_t taken = state.parser.put(state.buffer.data(), error);
    state.buffer.consume(taken);
    if (error) break;
  }
  const bool goes_on =
      error == bhttp::error::need_more || error == bhttp::error::need_buffer;
  if (goes_on) error = {};
  return into.size() - body.size;
}

}  // namespace

Task<ReadResult> ResponseStream::Read(std::span<char> into) {
  State& state = *this->state;
  while (true) {
    error_code error;
    const std::size_t count = ParseBuffered(state, into, error);
    if (error) co_return ReadResult{FetchStatus::kBroken, 0};
    if (count > 0) state.framing = 0;
    if (state.framing > kMostFraming) {
      co_return ReadResult{FetchStatus::kBroken, 0};
    }
    if (count > 0 || state.parser.is_done()) {
      co_return ReadResult{FetchStatus::kOk, count};
    }
    state.Arm(state.options.read_timeout, Now());
    const std::size_t received =
        co_await state.stream->socket().async_read_some(
            state.buffer.prepare(kReadBytes),
            net::redirect_error(kAwait, error));
    state.guard->Disarm();
    state.buffer.commit(received);
    state.framing += received;
    if (error == net::error::eof) {
      state.parser.put_eof(error);
      if (!error && state.parser.is_done()) continue;
      co_return ReadResult{FetchStatus::kBroken, 0};
    }
    if (error) co_return ReadResult{state.Failure(), 0};
  }
}

Client::Client(net::io_context& io) : pool(std::make_shared<Pool>(io)) {}

Client::~Client() = default;

namespace {

struct Connected {
  std::unique_ptr<Stream> stream;  // null when there is none
  bool refused = false;

  FetchStatus Status() const {
    if (this->stream) return FetchStatus::kOk;
    return this->refused ? FetchStatus::kRefused : FetchStatus::kUnreachable;
  }
};

Task<Connected> Connect(net::io_context& io, std::string_view address,
                        const FetchOptions& options) {
  Connected connected;
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) co_return connected;
  auto stream = std::make_unique<Stream>(io);
  if (options.canceller) {
    options.canceller->SetCloseHandler([&stream] { stream->cancel(); });
  }
  stream->expires_after(
      std::min(options.connect_timeout, options.deadline - Now()));
  error_code error;
  co_await stream->async_connect(*endpoint, net::redirect_error(kAwait, error));
  if (options.canceller) options.canceller->SetCloseHandler(nullptr);
  connected.refused = error == net::error::connection_refused;
  if (error) co_return connected;
  if (options.canceller && options.canceller->Cancelled()) co_return connected;
  stream->expires_never();
  stream->socket().set_option(tcp::no_delay(true), error);
  ::setsockopt(stream->socket().native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnacknowledgedMs, sizeof(kUnacknowledgedMs));
  connected.stream = std::move(stream);
  co_return connected;
}

// Gives the call a fresh connection; kOk when it has one.
Task<FetchStatus> Reach(ResponseStream::State& state) {
  Client::Pool& pool = *state.pool;
  if (pool.OpenCount(state.address) >= state.options.max_connections) {
    co_return FetchStatus::kConnectionLimit;
  }
  ++pool.open[state.address];
  Connected connected =
      co_await Connect(*pool.io, state.address, state.options);
  const FetchStatus status = connected.Status();
  state.stream = std::move(connected.stream);
  if (status != FetchStatus::kOk) pool.Closed(state.address);
  co_return status;
}

// Sends the request and reads the head of the answer.
Task<FetchStatus> SendAndReadHead(
    ResponseStream::State& state,
    const bhttp::request<bhttp::string_body>& message) {
  error_code error;
  auto& socket = state.stream->socket();
  state.Arm(state.options.first_byte_timeout, Now());
  co_await bhttp::async_write(socket, message,
                              net::redirect_error(kAwait, error));
  if (error) co_return state.Failure();
  co_await bhttp::async_read_header(socket, state.buffer, state.parser,
                                    net::redirect_error(kAwait, error));
  if (error) co_return state.Failure();
  state.guard->Disarm();
  state.parser.eager(true);
  const auto& head = state.parser.get();
  if (head.result_int() < kFirstFinalStatus) co_return FetchStatus::kBroken;
  state.head.status = static_cast<std::uint16_t>(head.result_int());
  for (const auto& field : head) {
    state.head.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  co_return FetchStatus::kOk;
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
    state->address = std::string(address);
    state->options = options;
    state->parser.body_limit(options.max_body_bytes);
    if (pooled) state->stream = this->pool->Take(address, options, Now());
    pooled = state->stream != nullptr;
    if (!pooled) {
      const FetchStatus status = co_await Reach(*state);
      if (status != FetchStatus::kOk) {
        // What was sent before may have arrived.
        co_return OpenResult{sent ? FetchStatus::kBroken : status, nullptr};
      }
    }
    state->Watch();
    const FetchStatus status = co_await SendAndReadHead(*state, message);
    if (status == FetchStatus::kOk) {
      co_return OpenResult{status,
                           std::make_unique<ResponseStream>(std::move(state))};
    }
    sent = true;
    const bool cancelled = options.canceller && options.canceller->Cancelled();
    const bool resend = pooled && status == FetchStatus::kBroken &&
                        !state->AnswerBegan() && !cancelled &&
                        options.may_resend && options.may_resend();
    if (!resend) co_return OpenResult{status, nullptr};
    pooled = false;
  }
}

Task<FetchStatus> Client::Probe(std::string address,
                                coordination::Duration timeout) {
  FetchOptions options;
  options.connect_timeout = timeout;
  const Connected connected =
      co_await Connect(*this->pool->io, address, options);
  co_return connected.Status();
}

Task<FetchResult> Client::Fetch(std::string_view address,
                                const Request& request,
                                const FetchOptions& options) {
  OpenResult opened = co_await this->Open(address, request, options);
  FetchResult result;
  result.status = opened.status;
  if (opened.status != FetchStatus::kOk) co_return result;
  result.response = opened.stream->Head();
  std::vector<char> piece(16 * 1024);
  while (true) {
    const ReadResult read = co_await opened.stream->Read(piece);
    result.status = read.status;
    if (read.status != FetchStatus::kOk || read.count == 0) break;
    result.response.body.append(piece.data(), read.count);
  }
  co_return result;
}

}  // namespace hornbeamspool::http
