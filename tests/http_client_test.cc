// The HTTP client against servers that end, or answer with what is no answer.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/client.h"
#include "http/clock.h"
#include "run_task.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;
using net::ip::tcp;

constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A server whose behaviour is a function on a thread of its own.
class ScriptedServer {
 public:
  using Script = std::function<void(tcp::acceptor&)>;

  explicit ScriptedServer(Script script)
      : acceptor(this->io, {net::ip::make_address("127.0.0.1"), 0}),
        address("127.0.0.1:" +
                std::to_string(this->acceptor.local_endpoint().port())),
        thread([this, script = std::move(script)] { script(this->acceptor); }) {
  }
  ScriptedServer(const ScriptedServer&) = delete;
  ScriptedServer& operator=(const ScriptedServer&) = delete;
  ~ScriptedServer() { this->thread.join(); }

  const std::string& Address() const { return this->address; }

 private:
  net::io_context io;
  tcp::acceptor acceptor;
  std::string address;
  std::thread thread;
};

void ReadRequest(tcp::socket& socket) {
  std::string request;
  net::read_until(socket, net::dynamic_buffer(request), "\r\n\r\n");
}

FetchResult Get(net::io_context& io, Client& client, const std::string& address,
                const FetchOptions& options = {}) {
  Request request;
  request.method = "GET";
  request.target = "/x";
  return RunTask(io, client.Fetch(address, request, options));
}

// Guards against BUDGET: a request that took its upstream down on a kept
// connection was reported as one that had never been sent.
TEST_CASE("a request that was sent before the server ended is not unsent") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    ReadRequest(socket);
    net::write(socket, net::buffer(std::string(kAnswer)));
    ReadRequest(socket);
    acceptor.close();
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kBroken);
}

TEST_CASE("a kept connection that was closed idle costs the caller nothing") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    for (int i = 0; i < 2; ++i) {
      tcp::socket socket = acceptor.accept();
      ReadRequest(socket);
      net::write(socket, net::buffer(std::string(kAnswer)));
    }
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
}

// What a server sends without end after these first bytes.
struct EndlessAnswer {
  std::string name;
  std::string first;
  std::string repeated;
};

std::vector<EndlessAnswer> EndlessHeads() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  return {{"bytes that are no head", "", "xxxxxxxx"},
          {"a status line", "HTTP/1.1 200 ", "xxxxxxxx"},
          {"one header", status + "A: ", "xxxxxxxx"},
          {"headers", status, "A: b\r\n"},
          {"blank lines", "", "\r\n"},
          {"heads that go on", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
}

std::vector<EndlessAnswer> EndlessBodies() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"a body without a length", head + "\r\n", "xxxxxxxx"},
          {"chunks", chunked, "8\r\nxxxxxxxx\r\n"},
          {"a chunk's size", chunked, "00000000"},
          {"a chunk's extension", chunked + "8;a=", "xxxxxxxx"},
          {"a trailer", chunked + "0\r\nA: ", "xxxxxxxx"},
          {"trailers", chunked + "0\r\n", "A: b\r\n"}};
}

// Sends the answer until the client closes. Returns how many bytes it took.
std::size_t SendEndless(tcp::acceptor& acceptor, const EndlessAnswer& answer) {
  constexpr std::size_t kPiece = 64 * 1024;
  std::string piece;
  while (piece.size() < kPiece) piece += answer.repeated;
  tcp::socket socket = acceptor.accept();
  ReadRequest(socket);
  boost::system::error_code error;
  std::size_t taken = net::write(socket, net::buffer(answer.first), error);
  while (!error) taken += net::write(socket, net::buffer(piece), error);
  return taken;
}

// The status of a call that gets the answer, with the bytes that it took.
FetchStatus GetEndless(const EndlessAnswer& answer, std::size_t& taken) {
  constexpr std::uint64_t kBodyBytes = 1U << 20U;
  FetchStatus status = FetchStatus::kOk;
  {
    const ScriptedServer server([&](tcp::acceptor& acceptor) {
      taken = SendEndless(acceptor, answer);
    });
    net::io_context io{1};
    Client client(io);
    FetchOptions options;
    options.max_body_bytes = kBodyBytes;
    options.deadline = Now() + std::chrono::seconds(20);
    options.may_resend = nullptr;
    status = Get(io, client, server.Address(), options).status;
  }
  return status;
}

// Guards against a VM that runs out of memory, or waits for its whole deadline,
// on bytes that are no answer and have no end. Bounds: what an answer may hold,
// and what the two sockets do.
TEST_CASE("an answer without end is given up by its size") {
  constexpr std::size_t kMostTaken = 16U << 20U;
  for (const auto& answers : {EndlessHeads(), EndlessBodies()}) {
    for (const EndlessAnswer& answer : answers) {
      CAPTURE(answer.name);
      std::size_t taken = 0;
      CHECK(GetEndless(answer, taken) == FetchStatus::kBroken);
      CHECK(taken < kMostTaken);
    }
  }
}

}  // namespace
}  // namespace hornbeamspool::http
