#include "standin/duplicating_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <utility>

#include "standin/listen.h"

namespace hornbeamspool::standin {
namespace {

namespace bhttp = boost::beast::http;
namespace net = boost::asio;
using boost::system::error_code;

constexpr std::string_view kRequestId = "Attempt-Id";

std::string Message(std::string_view status, std::string_view headers,
                    std::string_view body) {
  std::string message = "HTTP/1.1 ";
  message += status;
  message += "\r\n";
  message += headers;
  message += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  message += body;
  return message;
}

std::string Field(std::string_view name, std::string_view value) {
  std::string field(name);
  field += ": ";
  field += value;
  field += "\r\n";
  return field;
}

}  // namespace

DuplicatingServer::DuplicatingServer(net::io_context& io,
                                     DuplicatingServerOptions options,
                                     std::ostream& report)
    : io(&io),
      options(std::move(options)),
      acceptor(io),
      random(this->options.seed),
      report(&report) {}

std::uint16_t DuplicatingServer::Listen(std::string_view address) {
  const std::uint16_t port = standin::Listen(this->acceptor, address);
  if (port != 0) net::co_spawn(*this->io, this->Accept(), net::detached);
  return port;
}

http::Task<void> DuplicatingServer::Accept() {
  while (true) {
    http::TcpSocket socket = co_await this->acceptor.async_accept(http::kAwait);
    socket.set_option(net::ip::tcp::no_delay(true));
    net::co_spawn(*this->io, this->Serve(std::move(socket)), net::detached);
  }
}

http::Task<void> DuplicatingServer::Serve(http::TcpSocket socket) {
  boost::beast::flat_buffer buffer;
  std::string late_copy;
  error_code error;
  while (true) {
    Request request;
    co_await bhttp::async_read(socket, buffer, request,
                               net::redirect_error(http::kAwait, error));
    if (error) co_return;
    std::string copy = std::exchange(late_copy, std::string());
    if (!co_await this->Send(socket, std::move(copy))) co_return;
    bool execute = false;
    std::string answer = this->Answer(request, execute);
    if (execute && this->options.work.count() > 0) {
      http::Timer timer(*this->io, this->options.work);
      co_await timer.async_wait(http::kAwait);
    }
    if (execute && this->Chance(this->options.cut)) {
      answer.resize(this->random() % answer.size());
      co_await this->Send(socket, std::move(answer));
      co_return;
    }
    if (this->Chance(this->options.duplicated)) {
      *this->report << "copy" << std::endl;
      if (this->Chance(0.25)) {
        answer += std::string(answer);
      } else {
        late_copy = answer;
        if (this->Chance(this->options.spliced)) {
          late_copy.resize(this->random() % late_copy.size());
        }
      }
    }
    if (!co_await this->Send(socket, std::move(answer))) co_return;
  }
}

http::Task<bool> DuplicatingServer::Send(http::TcpSocket& socket,
                                         std::string answer) {
  error_code error;
  const std::size_t piece =
      this->Chance(this->options.split) ? 1 : answer.size();
  for (std::size_t at = 0; at < answer.size() && !error; at += piece) {
    co_await net::async_write(socket, net::buffer(answer.data() + at, piece),
                              net::redirect_error(http::kAwait, error));
  }
  co_return !error;
}

std::string DuplicatingServer::Answer(const Request& request, bool& execute) {
  const std::string id(request[kRequestId]);
  const std::string expected(request["Expect-Instance"]);
  const std::string name = Field(kRequestId, id);
  const bool unnamed = this->Chance(this->options.unnamed);
  if (!expected.empty() && expected != this->options.id) {
    return Message(
        "421 Misdirected Request",
        Field("Instance-Id", this->options.id) + (unnamed ? "" : name), "");
  }
  if (this->Chance(this->options.rejected)) {
    return Message("503 Service Unavailable",
                   Field("Not-Executed", "1") +
                       Field("Instance-Load", "8,8,8") + (unnamed ? "" : name),
                   "");
  }
  execute = true;
  *this->report << "ran " << id << std::endl;
  const std::string head = name +
                           Field("Server-Stamp", "stamp-" + this->options.id) +
                           Field("Keep-Alive", "timeout=30");
  if (this->Chance(this->options.failed)) {
    return Message("503 Service Unavailable", head, "failed");
  }
  if (!request.target().starts_with("/draft/")) {
    return Message("200 OK", head, "done " + id);
  }
  return Message("200 OK", head + Field("Content-Type", "text/event-stream"),
                 "id: 0\ndata: done " + id + "\n\n");
}

bool DuplicatingServer::Chance(double fraction) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < fraction;
}

}  // namespace hornbeamspool::standin
