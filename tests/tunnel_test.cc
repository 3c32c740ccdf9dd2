// Tests of connections through another host: http::TunnelServer and the client.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>

#include "http/client.h"
#include "http/clock.h"
#include "http/server.h"
#include "http/tunnel_server.h"
#include "run_task.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;

constexpr std::string_view kRequest = "let me through";

std::string AddressOf(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

// A server behind a tunnel, and a client.
class Fixture {
 public:
  Fixture()
      : server(
            this->io, {},
            [](Exchange& exchange) -> Task<void> {
              Response response;
              response.status = 200;
              response.body = exchange.GetRequest().body;
              co_await exchange.Send(std::move(response));
            },
            [](RejectReason) { return Response{}; }),
        tunnels(
            this->io, {.max_tunnels = 2},
            [this](std::string_view request)
                -> std::variant<std::string, TunnelStatus> {
              if (request != kRequest) return TunnelStatus::kUnavailable;
              if (this->withheld) return TunnelStatus::kWithheld;
              return this->target;
            },
            [](std::string_view) {}),
        client(this->io) {
    this->target = AddressOf(this->server.Listen("127.0.0.1:0"));
    this->tunnel->address = AddressOf(this->tunnels.Listen("127.0.0.1:0"));
    this->tunnel->make_request = [](std::string_view) {
      return std::string(kRequest);
    };
  }

  FetchResult Fetch() {
    FetchResult result;
    FetchOptions options;
    options.tunnel = this->tunnel;
    options.deadline = Now() + std::chrono::seconds(5);
    Request request;
    request.method = "POST";
    request.target = "/";
    request.body = std::string(100'000, 'x');
    const auto run = [&]() -> Task<void> {
      result = co_await this->client.Fetch(this->target, request, options);
      this->io.stop();
    };
    net::co_spawn(this->io, run(), net::detached);
    this->io.restart();
    this->io.run();
    return result;
  }

  net::io_context io;
  std::string target;
  bool withheld = false;
  Server server;
  TunnelServer tunnels;
  Client client;
  std::shared_ptr<Tunnel> tunnel = std::make_shared<Tunnel>();
};

// An upstream that answers with `bytes` and closes its connection, by a reset
// if `reset`.
Task<void> AnswerOnce(TcpAcceptor& acceptor, std::string bytes, bool reset) {
  boost::system::error_code error;
  TcpSocket socket =
      co_await acceptor.async_accept(net::redirect_error(kAwait, error));
  std::array<char, 1024> buffer{};
  co_await socket.async_read_some(net::buffer(buffer),
                                  net::redirect_error(kAwait, error));
  co_await net::async_write(socket, net::buffer(bytes),
                            net::redirect_error(kAwait, error));
  if (reset) socket.set_option(net::socket_base::linger(true, 0), error);
  socket.close(error);
}

TEST_CASE("requests and responses pass through a tunnel") {
  Fixture fixture;
  for (int i = 0; i < 3; ++i) {
    const FetchResult result = fixture.Fetch();
    CHECK(result.status == FetchStatus::kOk);
    CHECK(result.response.body.size() == 100'000);
  }
  // One connection served all.
  CHECK(fixture.tunnels.Tunnels() == 1);
}

// Guards against a rejection that counts as the first answer on its connection,
// because another VM's host carries it.
TEST_CASE("a connection through a tunnel counts the requests on it") {
  Fixture fixture;
  const auto earlier_requests = [&fixture](bool fresh) {
    FetchOptions options;
    options.tunnel = fixture.tunnel;
    options.fresh_connection = fresh;
    const OpenResult opened = RunTask(
        fixture.io, fixture.client.Open(fixture.target, Request{}, options));
    REQUIRE(opened.status == FetchStatus::kOk);
    std::array<char, 16> body{};
    CHECK(RunTask(fixture.io, opened.stream->Read(body)).count == 0);
    return opened.stream->Connection().earlier_requests;
  };
  CHECK(earlier_requests(false) == 0);
  CHECK(earlier_requests(false) == 1);
  CHECK(earlier_requests(true) == 0);
  CHECK(earlier_requests(false) == 1);
}

TEST_CASE("a host opens tunnels only for requests that it accepts") {
  Fixture fixture;
  fixture.tunnel->make_request = [](std::string_view) {
    return std::string("other");
  };
  CHECK(fixture.Fetch().status == FetchStatus::kNoTunnel);
  fixture.tunnel->make_request = [](std::string_view) {
    return std::string(kMaxTunnelRequestBytes + 1, 'x');
  };
  CHECK(fixture.Fetch().status == FetchStatus::kNoTunnel);
  CHECK(fixture.tunnels.Tunnels() == 0);
}

TEST_CASE("a host that may not send to the server is no failure of it") {
  Fixture fixture;
  fixture.withheld = true;
  const FetchResult result = fixture.Fetch();
  CHECK(result.status == FetchStatus::kWithheld);
  CHECK_FALSE(MayHaveArrived(result.status));
}

TEST_CASE("a server that refuses the tunnel's connection is reported as such") {
  Fixture fixture;
  fixture.target = "127.0.0.1:1";
  CHECK(fixture.Fetch().status == FetchStatus::kRefused);
}

TEST_CASE("a host that is down is no failure of the server") {
  Fixture fixture;
  fixture.tunnel->address = "127.0.0.1:1";
  const FetchResult result = fixture.Fetch();
  CHECK(result.status == FetchStatus::kNoTunnel);
  CHECK_FALSE(MayHaveArrived(result.status));
}

// Guards against an answer that broke off and reaches the caller as complete: a
// host that ends closes its connections as a server does at the end of such an
// answer.
TEST_CASE("an answer that ends with its connection is broken in a tunnel") {
  for (const bool reset : {false, true}) {
    Fixture fixture;
    TcpAcceptor acceptor(
        fixture.io,
        net::ip::tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    fixture.target = AddressOf(acceptor.local_endpoint().port());
    net::co_spawn(fixture.io,
                  AnswerOnce(acceptor, "HTTP/1.1 200 OK\r\n\r\nhalf", reset),
                  net::detached);
    const FetchStatus status = fixture.Fetch().status;
    CHECK(status == FetchStatus::kBroken);
  }
}

}  // namespace
}  // namespace hornbeamspool::http
