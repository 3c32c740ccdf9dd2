// The HTTP client against servers that end, or answer with what is no answer.
#include <doctest/doctest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "http/client.h"
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

}  // namespace
}  // namespace hornbeamspool::http
