// Tests of the HTTP client with servers that close connections or send
// malformed or endless responses.
#include <doctest/doctest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
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

constexpr const char* kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

// A server that runs `script` on its own thread.
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

void AnswerRequest(tcp::socket& socket) {
  ReadRequest(socket);
  net::write(socket, net::buffer(std::string(kResponse)));
}

FetchResult Get(net::io_context& io, Client& client, const std::string& address,
                const FetchOptions& options = {}) {
  Request request;
  request.method = "GET";
  request.target = "/x";
  return RunTask(io, client.Fetch(address, request, options));
}

// Guards against a wrong kUnreachable or kRefused: an upstream crashed on a
// request that was sent on a pooled connection, and the request was reported as
// never sent because the resend could not connect.
TEST_CASE("a request is kBroken if it was sent before the server closed") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    AnswerRequest(socket);
    ReadRequest(socket);
    acceptor.close();
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kBroken);
}

TEST_CASE(
    "a request is resent if the server had closed the pooled connection") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    for (int i = 0; i < 2; ++i) {
      tcp::socket socket = acceptor.accept();
      AnswerRequest(socket);
    }
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
}

// Guards against requests to an upstream that may get none, after the choice of
// it: the connection took its time.
TEST_CASE("a request that may no longer be sent is withheld") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    std::string request;
    boost::system::error_code error;
    net::read(socket, net::dynamic_buffer(request), error);
    CHECK(request.empty());
  });
  net::io_context io{1};
  Client client(io);
  FetchOptions options;
  options.confirm_send = [] { return false; };
  const FetchStatus status = Get(io, client, server.Address(), options).status;
  CHECK(status == FetchStatus::kWithheld);
  CHECK_FALSE(MayHaveArrived(status));
}

TEST_CASE("idle connections to a server can be closed") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    AnswerRequest(socket);
    char byte = 0;
    boost::system::error_code error;
    net::read(socket, net::buffer(&byte, 1), error);
    CHECK(error == net::error::eof);
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  client.CloseIdle(server.Address());
}

TEST_CASE("the next response is read after one to an earlier request") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    AnswerRequest(socket);
    ReadRequest(socket);
    for (const std::string body : {"aa", "bb"}) {
      const std::string next =
          "HTTP/1.1 200 OK\r\nName: " + body + "\r\nContent-Length: 2\r\n\r\n";
      net::write(socket, net::buffer(next + body));
    }
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  const OpenResult opened =
      RunTask(io, client.Open(server.Address(), Request{}, {}));
  REQUIRE(opened.status == FetchStatus::kOk);
  CHECK(opened.stream->Connection().number == 1);
  CHECK(opened.stream->Connection().earlier_requests == 1);
  CHECK(opened.stream->Head().HeaderValue("Name") == "aa");
  CHECK(RunTask(io, opened.stream->ReadNext()) == FetchStatus::kOk);
  CHECK(opened.stream->Head().HeaderValue("Name") == "bb");
  std::array<char, 8> body{};
  const ReadResult read = RunTask(io, opened.stream->Read(body));
  CHECK(std::string(body.data(), read.count) == "bb");
  // The server has closed the connection.
  CHECK(RunTask(io, opened.stream->ReadNext()) == FetchStatus::kBroken);
}

// Guards against the response to one request that meets the next one.
TEST_CASE("a connection is not reused once its next response was not read") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket first = acceptor.accept();
    AnswerRequest(first);
    ReadRequest(first);
    net::write(first, net::buffer(std::string(kResponse) +
                                  "HTTP/1.1 200 HTTP/1.1 200 OK\r\n"
                                  "Content-Length: 0\r\n\r\n"));
    tcp::socket second = acceptor.accept();
    AnswerRequest(second);
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  {
    const OpenResult opened =
        RunTask(io, client.Open(server.Address(), Request{}, {}));
    REQUIRE(opened.status == FetchStatus::kOk);
    CHECK(RunTask(io, opened.stream->ReadNext()) == FetchStatus::kBroken);
  }
  FetchOptions options;
  options.may_resend = nullptr;
  CHECK(Get(io, client, server.Address(), options).status == FetchStatus::kOk);
}

// Guards against a response with the status of a cut copy and the fields of the
// response after it.
TEST_CASE("a response that follows a cut one is not mixed with it") {
  const std::string copy =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nLoad: 8,8,8\r\n"
      "Name: copy\r\nContent-Length: 4\r\n\r\ncopy";
  const std::string own =
      "HTTP/1.1 200 OK\r\nName: own\r\nContent-Length: 3\r\n\r\nown";
  for (std::size_t cut = 1; cut <= copy.size(); ++cut) {
    CAPTURE(cut);
    const ScriptedServer server([&](tcp::acceptor& acceptor) {
      tcp::socket socket = acceptor.accept();
      AnswerRequest(socket);
      ReadRequest(socket);
      net::write(socket, net::buffer(copy.substr(0, cut) + own));
    });
    net::io_context io{1};
    Client client(io);
    CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
    FetchOptions options;
    options.may_resend = nullptr;
    const FetchResult result = Get(io, client, server.Address(), options);
    if (result.status != FetchStatus::kOk) continue;
    CHECK(result.response.status == 503);
    CHECK(result.response.HeaderValue("Name") == "copy");
  }
}

TEST_CASE("a field may name the protocol's version") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket socket = acceptor.accept();
    ReadRequest(socket);
    net::write(socket, net::buffer(std::string(
                           "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 edge, "
                           "HTTP/1.0\r\nContent-Length: 0\r\n\r\n")));
  });
  net::io_context io{1};
  Client client(io);
  CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
}

// Guards against connections that pile up at a server whose requests all need
// new ones, and against a limit that idle connections fill.
TEST_CASE("a fresh connection takes the place of an idle one") {
  const ScriptedServer server([](tcp::acceptor& acceptor) {
    tcp::socket first = acceptor.accept();
    AnswerRequest(first);
    tcp::socket second = acceptor.accept();
    char byte = 0;
    boost::system::error_code error;
    net::read(first, net::buffer(&byte, 1), error);
    CHECK(error == net::error::eof);
    AnswerRequest(second);
  });
  net::io_context io{1};
  Client client(io);
  FetchOptions options;
  options.max_connections = 1;
  CHECK(Get(io, client, server.Address(), options).status == FetchStatus::kOk);
  options.fresh_connection = true;
  CHECK(Get(io, client, server.Address(), options).status == FetchStatus::kOk);
}

// Guards against an assertion of the parser that ended the process.
TEST_CASE("a chunked response may arrive byte by byte, and break off") {
  for (const std::string body : {"0\r\n\r\n", "000;x=1\r\n\r\n",
                                 "0\r\nA: b\r\n\r\n", "1\r\na\r\n0\r\n\r\n"}) {
    for (std::size_t cut = 0; cut <= body.size(); ++cut) {
      const ScriptedServer server([&](tcp::acceptor& acceptor) {
        tcp::socket socket = acceptor.accept();
        socket.set_option(tcp::no_delay(true));
        ReadRequest(socket);
        net::write(socket, net::buffer(std::string(
                               "HTTP/1.1 200 OK\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n")));
        for (const char byte : body.substr(0, cut)) {
          std::this_thread::sleep_for(std::chrono::milliseconds(2));
          net::write(socket, net::buffer(&byte, 1));
        }
      });
      net::io_context io{1};
      Client client(io);
      const FetchResult result = Get(io, client, server.Address());
      const bool whole = cut == body.size();
      CHECK(result.status == (whole ? FetchStatus::kOk : FetchStatus::kBroken));
      if (whole) CHECK(result.response.body == (body[0] == '1' ? "a" : ""));
    }
  }
}

// Guards against an exception: Beast rejects such a request.
TEST_CASE("a TRACE request is sent with its body") {
  std::string received;
  {
    const ScriptedServer server([&](tcp::acceptor& acceptor) {
      tcp::socket socket = acceptor.accept();
      net::read_until(socket, net::dynamic_buffer(received), "\r\n\r\nhi");
      net::write(socket, net::buffer(std::string(kResponse)));
    });
    net::io_context io{1};
    Client client(io);
    Request request;
    request.method = "TRACE";
    request.body = "hi";
    const FetchResult result =
        RunTask(io, client.Fetch(server.Address(), request, {}));
    CHECK(result.status == FetchStatus::kOk);
  }
  CHECK(received.find("Content-Length: 2\r\n") != std::string::npos);
}

// Guards against a conversion to microseconds that overflows.
TEST_CASE("a server may announce any idle timeout") {
  for (const std::string seconds :
       {"9223372036854775807", "99999999999999999999", "-5", ""}) {
    const ScriptedServer server([&](tcp::acceptor& acceptor) {
      tcp::socket socket = acceptor.accept();
      ReadRequest(socket);
      net::write(socket,
                 net::buffer("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=" +
                             seconds + "\r\nContent-Length: 0\r\n\r\n"));
    });
    net::io_context io{1};
    Client client(io);
    CHECK(Get(io, client, server.Address()).status == FetchStatus::kOk);
  }
}

// A response that sends `repeated` without end after `first`.
struct EndlessResponse {
  std::string name;
  std::string first;
  std::string repeated;
};

std::vector<EndlessResponse> EndlessHeads() {
  const std::string status = "HTTP/1.1 200 OK\r\n";
  return {{"bytes that are not a head", "", "xxxxxxxx"},
          {"a status line", "HTTP/1.1 200 ", "xxxxxxxx"},
          {"one header", status + "A: ", "xxxxxxxx"},
          {"headers", status, "A: b\r\n"},
          {"blank lines", "", "\r\n"},
          {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"}};
}

std::vector<EndlessResponse> EndlessBodies() {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"a body without a length", head + "\r\n", "xxxxxxxx"},
          {"chunks", chunked, "8\r\nxxxxxxxx\r\n"},
          {"a chunk size", chunked, "00000000"},
          {"a chunk extension", chunked + "8;a=", "xxxxxxxx"},
          {"a trailer", chunked + "0\r\nA: ", "xxxxxxxx"},
          {"trailers", chunked + "0\r\n", "A: b\r\n"}};
}

// Sends the response until the client closes the connection. Returns the number
// of bytes that the socket accepted.
std::size_t SendEndless(tcp::acceptor& acceptor,
                        const EndlessResponse& response) {
  constexpr std::size_t kBufferBytes = 64 * 1024;
  std::string buffer;
  while (buffer.size() < kBufferBytes) buffer += response.repeated;
  tcp::socket socket = acceptor.accept();
  ReadRequest(socket);
  boost::system::error_code error;
  std::size_t sent_bytes =
      net::write(socket, net::buffer(response.first), error);
  while (!error) sent_bytes += net::write(socket, net::buffer(buffer), error);
  return sent_bytes;
}

// Fetches the response. Returns the status of the call and sets `sent_bytes`.
FetchStatus GetEndless(const EndlessResponse& response,
                       std::size_t& sent_bytes) {
  constexpr std::uint64_t kMaxBodyBytes = 1U << 20U;
  FetchStatus status = FetchStatus::kOk;
  {
    const ScriptedServer server([&](tcp::acceptor& acceptor) {
      sent_bytes = SendEndless(acceptor, response);
    });
    net::io_context io{1};
    Client client(io);
    FetchOptions options;
    options.max_body_bytes = kMaxBodyBytes;
    options.deadline = Now() + std::chrono::seconds(20);
    options.may_resend = nullptr;
    status = Get(io, client, server.Address(), options).status;
  }
  return status;
}

// Guards against a VM that runs out of memory, or waits until the deadline of
// the call, on an endless response. kMaxSentBytes covers the size limits of the
// client and the buffers of both sockets.
// A response without a length ends with its connection; a crash of the server
// must not look like that end.
TEST_CASE("a response without a length is complete unless it was reset") {
  for (const bool is_reset : {false, true}) {
    const ScriptedServer server([is_reset](tcp::acceptor& acceptor) {
      tcp::socket socket = acceptor.accept();
      ReadRequest(socket);
      net::write(socket, net::buffer(std::string(
                             "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n")));
      if (!is_reset) return;
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      socket.set_option(net::socket_base::linger(true, 0));
      socket.close();
    });
    net::io_context io{1};
    Client client(io);
    const FetchResult result = Get(io, client, server.Address());
    CHECK(result.status ==
          (is_reset ? FetchStatus::kBroken : FetchStatus::kOk));
    CHECK(result.response.body == "id: 1\ndata: x\n\n");
  }
}

TEST_CASE("an endless response ends the call by its size") {
  constexpr std::size_t kMaxSentBytes = 16U << 20U;
  for (const auto& responses : {EndlessHeads(), EndlessBodies()}) {
    for (const EndlessResponse& response : responses) {
      CAPTURE(response.name);
      std::size_t sent_bytes = 0;
      CHECK(GetEndless(response, sent_bytes) == FetchStatus::kBroken);
      CHECK(sent_bytes < kMaxSentBytes);
    }
  }
}

}  // namespace
}  // namespace hornbeamspool::http
