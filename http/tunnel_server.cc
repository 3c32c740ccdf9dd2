#include "http/tunnel_server.h"

#include <array>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <optional>
#include <utility>

#include "http/address.h"
#include "http/task.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;
using boost::system::error_code;
using net::ip::tcp;

using Stream = boost::beast::basic_stream<tcp, Executor>;

constexpr std::size_t kBufferBytes = 8 * 1024;

// Pause after an error of the listener, such as no descriptors left.
constexpr coordination::Duration kAcceptPause = std::chrono::milliseconds(100);

}  // namespace

struct TunnelServer::State {
  State(net::io_context& io, Limits limits, Authorize authorize,
        ExceptionHandler on_exception)
      : io(&io),
        limits(limits),
        authorize(std::move(authorize)),
        on_exception(std::move(on_exception)) {}

  net::io_context* io;
  Limits limits;
  Authorize authorize;
  ExceptionHandler on_exception;
  std::optional<TcpAcceptor> acceptor;
  std::size_t tunnels = 0;
};

namespace {

// The two connections of one tunnel.
struct Link {
  Link(std::shared_ptr<TunnelServer::State> state, TcpSocket socket)
      : state(std::move(state)),
        client(std::move(socket)),
        server(*this->state->io) {
    ++this->state->tunnels;
  }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;
  ~Link() { --this->state->tunnels; }

  // Resets both connections: an answer that breaks off must not look complete.
  void Reset() {
    error_code ignored;
    for (Stream* stream : {&this->client, &this->server}) {
      stream->socket().set_option(net::socket_base::linger(true, 0), ignored);
      stream->socket().close(ignored);
    }
  }

  std::shared_ptr<TunnelServer::State> state;
  Stream client;
  Stream server;
};

// Passes bytes on in one direction until the connection ends.
Task<void> Pump(std::shared_ptr<Link> link, Stream* from, Stream* to) {
  std::array<char, kBufferBytes> buffer{};
  error_code error;
  while (true) {
    from->expires_after(link->state->limits.idle_timeout);
    const std::size_t count = co_await from->async_read_some(
        net::buffer(buffer), net::redirect_error(kAwait, error));
    if (error) break;
    co_await net::async_write(*to, net::buffer(buffer, count),
                              net::redirect_error(kAwait, error));
    if (error) break;
  }
  if (error == net::error::eof) {
    to->socket().shutdown(tcp::socket::shutdown_send, error);
    co_return;
  }
  link->Reset();
}

Task<std::optional<std::string>> ReadRequest(Link& link) {
  error_code error;
  std::array<unsigned char, 2> length{};
  link.client.expires_after(link.state->limits.open_timeout);
  co_await net::async_read(link.client, net::buffer(length),
                           net::redirect_error(kAwait, error));
  const std::size_t size = length[0] * std::size_t{256} + length[1];
  if (error || size > kMaxTunnelRequestBytes) co_return std::nullopt;
  std::string request(size, '\0');
  co_await net::async_read(link.client, net::buffer(request),
                           net::redirect_error(kAwait, error));
  if (error) co_return std::nullopt;
  co_return request;
}

Task<TunnelStatus> ConnectServer(Link& link, std::string request) {
  if (link.state->tunnels > link.state->limits.max_tunnels) {
    co_return TunnelStatus::kUnavailable;
  }
  const auto target = link.state->authorize(request);
  if (const auto* status = std::get_if<TunnelStatus>(&target)) {
    co_return *status;
  }
  const auto endpoint = ParseTcpEndpoint(std::get<std::string>(target));
  if (!endpoint) co_return TunnelStatus::kUnavailable;
  error_code error;
  link.server.expires_after(link.state->limits.open_timeout);
  co_await link.server.async_connect(*endpoint,
                                     net::redirect_error(kAwait, error));
  if (error == net::error::connection_refused) co_return TunnelStatus::kRefused;
  if (error) co_return TunnelStatus::kUnreachable;
  link.server.socket().set_option(tcp::no_delay(true), error);
  co_return TunnelStatus::kConnected;
}

Task<void> Serve(std::shared_ptr<Link> link) {
  std::optional<std::string> request = co_await ReadRequest(*link);
  if (!request) co_return;
  const TunnelStatus status =
      co_await ConnectServer(*link, std::move(*request));
  const std::array<char, 1> reply{static_cast<char>(status)};
  error_code error;
  co_await net::async_write(link->client, net::buffer(reply),
                            net::redirect_error(kAwait, error));
  if (error || status != TunnelStatus::kConnected) co_return;
  Spawn(*link->state->io, Pump(link, &link->server, &link->client),
        link->state->on_exception);
  co_await Pump(link, &link->client, &link->server);
}

Task<void> Accept(std::shared_ptr<TunnelServer::State> state) {
  Timer timer(*state->io);
  while (state->acceptor->is_open()) {
    error_code error;
    TcpSocket socket = co_await state->acceptor->async_accept(
        net::redirect_error(kAwait, error));
    if (error == net::error::operation_aborted) co_return;
    if (error) {
      timer.expires_after(kAcceptPause);
      co_await timer.async_wait(net::redirect_error(kAwait, error));
      continue;
    }
    socket.set_option(tcp::no_delay(true), error);
    auto link = std::make_shared<Link>(state, std::move(socket));
    Spawn(*state->io, Serve(std::move(link)), state->on_exception);
  }
}

}  // namespace

TunnelServer::TunnelServer(net::io_context& io, Limits limits,
                           Authorize authorize, ExceptionHandler on_exception)
    : state(std::make_shared<State>(io, limits, std::move(authorize),
                                    std::move(on_exception))) {}

TunnelServer::~TunnelServer() {
  error_code ignored;
  if (this->state->acceptor) this->state->acceptor->close(ignored);
}

std::uint16_t TunnelServer::Listen(std::string_view address) {
  const auto endpoint = ParseTcpEndpoint(address);
  if (!endpoint) return 0;
  try {
    this->state->acceptor.emplace(*this->state->io, *endpoint);
    this->state->acceptor->listen(net::socket_base::max_listen_connections);
  } catch (const boost::system::system_error&) {
    this->state->acceptor.reset();
    return 0;
  }
  Spawn(*this->state->io, Accept(this->state), this->state->on_exception);
  return this->state->acceptor->local_endpoint().port();
}

std::size_t TunnelServer::Tunnels() const { return this->state->tunnels; }

}  // namespace hornbeamspool::http
