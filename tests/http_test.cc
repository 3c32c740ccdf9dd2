// The HTTP server against callers that are slow, broken or in a hurry.
#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "http/event_stream.h"
#include "http/server.h"
#include "http/task.h"
#include "http/watchdog.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;

http::Task<void> Echo(Exchange& exchange) {
  Response response;
  response.body = exchange.GetRequest().method + ' ' +
                  exchange.GetRequest().target + ' ' +
                  exchange.GetRequest().body;
  const std::string_view folded = exchange.GetRequest().HeaderValue("X");
  if (!folded.empty()) response.body += " X=" + std::string(folded);
  co_await exchange.Send(std::move(response));
}

Response Rejected(RejectReason reject) {
  constexpr std::array<std::uint16_t, 6> kStatuses{400, 431, 413,
                                                   408, 503, 500};
  Response response;
  response.status = kStatuses.at(static_cast<std::size_t>(reject));
  return response;
}

ServerLimits SmallLimits() {
  ServerLimits limits;
  limits.header_timeout = std::chrono::milliseconds(200);
  limits.max_header_bytes = 1024;
  limits.max_body_bytes = 64;
  return limits;
}

// A server on a thread of its own.
struct Fixture {
  Fixture()
      : server(this->io, SmallLimits(), Echo, Rejected),
        port(this->server.Listen("127.0.0.1:0")),
        thread([this] { this->io.run(); }) {}
  Fixture(const Fixture&) = delete;
  Fixture& operator=(const Fixture&) = delete;
  ~Fixture() {
    this->io.stop();
    this->thread.join();
  }

  // Sends bytes and reads until the server closes.
  std::string Talk(std::string_view bytes) const {
    net::io_context own;
    net::ip::tcp::socket socket(own);
    socket.connect({net::ip::make_address("127.0.0.1"), this->port});
    net::write(socket, net::buffer(bytes.data(), bytes.size()));
    std::string answer;
    boost::system::error_code error;
    net::read(socket, net::dynamic_buffer(answer), error);
    return answer;
  }

  net::io_context io{1};
  Server server;
  std::uint16_t port;
  std::thread thread;
};

TEST_CASE("a request line that cannot be parsed") {
  const Fixture fixture;
  CHECK(fixture.Talk("NONSENSE\r\n\r\n").starts_with("HTTP/1.1 400"));
}

TEST_CASE("headers over the limit") {
  const Fixture fixture;
  const std::string request =
      "GET / HTTP/1.1\r\nX: " + std::string(2'000, 'x') + "\r\n\r\n";
  CHECK(fixture.Talk(request).starts_with("HTTP/1.1 431"));
}

TEST_CASE("a body over the limit") {
  const Fixture fixture;
  CHECK(fixture.Talk("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n")
            .starts_with("HTTP/1.1 413"));
}

TEST_CASE("headers that never end") {
  const Fixture fixture;
  CHECK(fixture.Talk("GET / HTTP/1.1\r\nX:").starts_with("HTTP/1.1 408"));
}

TEST_CASE("a chunked body") {
  const Fixture fixture;
  const std::string answer = fixture.Talk(
      "POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  CHECK(answer.ends_with("POST /c abcde"));
}

TEST_CASE("pipelined requests are answered in their order") {
  const Fixture fixture;
  const std::string answer = fixture.Talk(
      "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
      "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  const std::size_t first = answer.find("GET /1 ");
  const std::size_t second = answer.find("GET /2 ");
  const std::size_t third = answer.find("GET /3 ");
  CHECK_NE(third, std::string::npos);
  CHECK_LT(first, second);
  CHECK_LT(second, third);
}

TEST_CASE("a continue is given before a body is sent") {
  const Fixture fixture;
  const std::string answer = fixture.Talk(
      "POST /e HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: "
      "2\r\n"
      "Connection: close\r\n\r\nhi");
  CHECK(answer.starts_with("HTTP/1.1 100"));
  CHECK(answer.ends_with("POST /e hi"));
}

// RFC 9112, 3.2 and 6.1: what follows on the connection must not be read as a
// request.
TEST_CASE("a head whose host or framing is ambiguous ends its connection") {
  const Fixture fixture;
  constexpr std::string_view kSmuggled =
      "GET /smuggled HTTP/1.1\r\nHost: h\r\n"
      "Connection: close\r\n\r\n";
  for (const char* head :
       {"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, "
        "chunked\r\n\r\n",
        "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
        "Transfer-Encoding: identity\r\n\r\n",
        "POST /x HTTP/1.0\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
        "GET /x HTTP/1.1\r\n\r\n",
        "GET /x HTTP/1.1\r\nHost: h\r\nHost: g\r\n\r\n"}) {
    INFO(head);
    const std::string answer =
        fixture.Talk(std::string(head) + std::string(kSmuggled));
    CHECK(answer.starts_with("HTTP/1.1 400"));
    CHECK_EQ(answer.find("/smuggled"), std::string::npos);
  }
}

TEST_CASE("a folded header line is joined with a space") {
  const Fixture fixture;
  const std::string answer = fixture.Talk(
      "GET /f HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\nConnection: close\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.ends_with("GET /f  X=a b"));
}

// A server that was busy accepts and reads later than its callers wait.
TEST_CASE("a request whose caller has left before it is read is not handled") {
  net::io_context io{1};
  std::vector<std::string> handled;
  Server server(
      io, ServerLimits{},
      [&](Exchange& exchange) -> Task<void> {
        handled.push_back(exchange.GetRequest().target);
        Response response;
        co_await exchange.Send(std::move(response));
        if (exchange.GetRequest().target == "/stays") io.stop();
      },
      Rejected);
  const std::uint16_t port = server.Listen("127.0.0.1:0");
  net::io_context own;
  const auto connect = [&](std::string_view bytes) {
    auto socket = std::make_unique<net::ip::tcp::socket>(own);
    socket->connect({net::ip::make_address("127.0.0.1"), port});
    net::write(*socket, net::buffer(bytes.data(), bytes.size()));
    return socket;
  };
  connect("GET /left HTTP/1.1\r\nHost: h\r\n\r\n").reset();
  const auto stays = connect("GET /stays HTTP/1.1\r\nHost: h\r\n\r\n");
  io.run_for(std::chrono::seconds(10));
  CHECK(handled == std::vector<std::string>{"/stays"});
}

TEST_CASE("a caller that closes while its request is served is noticed") {
  net::io_context io{1};
  bool gone = false;
  std::promise<void> served;
  Server server(
      io, ServerLimits{},
      [&](Exchange& exchange) -> Task<void> {
        Timer timer(io);
        timer.expires_after(std::chrono::seconds(10));
        exchange.OnDisconnect([&] {
          gone = true;
          timer.cancel();
        });
        served.set_value();
        boost::system::error_code woken;
        co_await timer.async_wait(net::redirect_error(kAwait, woken));
        exchange.OnDisconnect(nullptr);
        Response response;
        co_await exchange.Send(std::move(response));
        io.stop();
      },
      Rejected);
  const std::uint16_t port = server.Listen("127.0.0.1:0");
  std::thread caller([port, &served] {
    net::io_context own;
    net::ip::tcp::socket socket(own);
    socket.connect({net::ip::make_address("127.0.0.1"), port});
    net::write(socket, net::buffer("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 27));
    served.get_future().wait();
  });
  io.run();
  caller.join();
  CHECK(gone);
}

TEST_CASE("a passed deadline cancels until it is disarmed") {
  // What is cancelled may have been between two operations.
  constexpr int kMostHandlers = 50;
  net::io_context io{1};
  Watchdog watchdog(io);
  int cancelled = 0;
  Watchdog::Guard guard(watchdog, [&] { ++cancelled; });
  guard.Arm(std::chrono::microseconds(0));
  for (int i = 0; i < kMostHandlers && cancelled < 2; ++i) io.run_one();
  CHECK_EQ(cancelled, 2);
  CHECK(guard.Expired());
  guard.Disarm();
  io.run_one();
  CHECK_EQ(cancelled, 2);
}

TEST_CASE("events are found however the pieces are cut") {
  const std::string text =
      "data: one\n\ndata: two\r\n\r\n: note\n\ndata: 3\n\n";
  for (std::size_t cut = 1; cut < text.size(); ++cut) {
    EventStreamParser reader;
    std::string found;
    for (std::size_t at = 0; at < text.size(); at += cut) {
      REQUIRE(reader.Feed(std::string_view(text).substr(at, cut)));
      while (const auto event = reader.Next()) {
        found += std::string(event->data) + '|';
      }
    }
    CHECK_EQ(found, "one|two||3|");
    CHECK_FALSE(reader.HasPartialEvent());
  }
}

}  // namespace
}  // namespace hornbeamspool::http
