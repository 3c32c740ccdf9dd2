#include "standin/client_crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <list>
#include <utility>

#include "http/address.h"
#include "http/clock.h"

namespace hornbeamspool::standin {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr std::size_t kWriteBytes = 64 * 1024;
constexpr coordination::Duration kPollInterval = std::chrono::milliseconds(20);

// Far over each limit of a body.
constexpr std::string_view kHugeLength = "8589934592";
constexpr std::int64_t kAnnouncedBytes = 1 << 20;
constexpr std::int64_t kHeadFields = 1000;
constexpr std::int64_t kSlowHeadBytes = 200;
constexpr coordination::Duration kBytePause = std::chrono::milliseconds(10);
constexpr std::int64_t kPipelinedRequests = 1000;

std::string Head(std::string_view method, const CrowdRequest& request) {
  std::string head(method);
  head += ' ' + request.path + " HTTP/1.1\r\nHost: a.example\r\n";
  head += "Content-Type: application/json\r\nAttempt-Id: crowd\r\n";
  if (!request.bearer.empty()) {
    head += "Authorization: Bearer " + request.bearer + "\r\n";
  }
  return head;
}

std::string Chunk(std::int64_t bytes) {
  constexpr int kHexadecimal = 16;
  std::array<char, 16> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 bytes, kHexadecimal);
  std::string chunk(digits.data(), end.ptr);
  return chunk + "\r\n" + std::string(static_cast<std::size_t>(bytes), 'x') +
         "\r\n";
}

std::string WithBody(const CrowdRequest& request) {
  std::string body = R"({"model":"planner","max_tokens":200,"stream":true,)"
                     R"("messages":[{"role":"user","content":")";
  const std::string end = "\"}]}";
  const auto bytes = static_cast<std::size_t>(request.body_bytes);
  body.resize(std::max(body.size(), bytes - std::min(bytes, end.size())), 'x');
  body += end;
  return Head("POST", request) +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

std::optional<CrowdMessage> MakeCrowdMessage(std::string_view kind,
                                             const CrowdRequest& request) {
  CrowdMessage message;
  if (kind == "idle") return message;
  if (kind == "announced") {
    message.prefix = Head("POST", request) +
                     "Content-Length: " + std::string(kHugeLength) + "\r\n\r\n";
    message.piece = std::string(kWriteBytes, 'x');
    message.pieces = kAnnouncedBytes / static_cast<std::int64_t>(kWriteBytes);
    return message;
  }
  if (kind == "chunked") {
    message.prefix =
        Head("POST", request) + "Transfer-Encoding: chunked\r\n\r\n";
    message.piece = Chunk(request.chunk_bytes);
    message.pieces = request.body_bytes / request.chunk_bytes;
    message.batch =
        std::max<std::size_t>(1, kWriteBytes / message.piece.size());
    return message;
  }
  if (kind == "endless_head") {
    message.prefix = Head("GET", request);
    message.piece = "X: " + std::string(1019, 'x') + "\r\n";
    message.pieces = kHeadFields;
    message.batch = kWriteBytes / message.piece.size();
    return message;
  }
  if (kind == "slow_head") {
    message.prefix = Head("GET", request) + "X: ";
    message.piece = "x";
    message.pieces = kSlowHeadBytes;
    message.pause = kBytePause;
    return message;
  }
  if (kind == "pipelined") {
    message.prefix = WithBody(request);
    message.piece = Head("GET", request) + "\r\n";
    message.pieces = kPipelinedRequests;
    message.batch = kWriteBytes / message.piece.size();
    return message;
  }
  if (kind == "unread") {
    message.prefix = WithBody(request);
    return message;
  }
  return std::nullopt;
}

ClientCrowd::ClientCrowd(net::io_context& io, CrowdOptions options)
    : io(&io), options(std::move(options)) {}

http::Task<void> ClientCrowd::Run(std::ostream& report) {
  std::list<http::TcpSocket> sockets;
  for (std::int64_t i = 0; i < this->options.connections; ++i) {
    ++this->sending;
    net::co_spawn(*this->io, this->RunClient(sockets.emplace_back(*this->io)),
                  net::detached);
  }
  const coordination::TimePoint end = Now() + this->options.timeout;
  http::Timer timer(*this->io);
  while (this->sending > 0 && Now() < end) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
  timer.expires_after(this->options.hold);
  co_await timer.async_wait(http::kAwait);
  report << "completed " << this->completed << " of "
         << this->options.connections << ", sent_bytes " << this->sent_bytes
         << '\n';
  error_code ignored;
  for (http::TcpSocket& socket : sockets) socket.close(ignored);
  while (this->sending > 0) {
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> ClientCrowd::RunClient(http::TcpSocket& socket) {
  const CrowdMessage& message = this->options.message;
  const auto endpoint = http::ParseTcpEndpoint(this->options.target);
  error_code error = net::error::invalid_argument;
  if (endpoint) {
    co_await socket.async_connect(*endpoint,
                                  net::redirect_error(http::kAwait, error));
  }
  http::Timer timer(*this->io);
  std::string bytes = message.prefix;
  std::int64_t left = message.pieces;
  while (!error) {
    this->sent_bytes += static_cast<std::int64_t>(co_await net::async_write(
        socket, net::buffer(bytes), net::redirect_error(http::kAwait, error)));
    if (error || left == 0) break;
    if (message.pause.count() > 0) {
      timer.expires_after(message.pause);
      co_await timer.async_wait(http::kAwait);
    }
    const auto pieces =
        std::min<std::int64_t>(left, static_cast<std::int64_t>(message.batch));
    left -= pieces;
    bytes.clear();
    for (std::int64_t i = 0; i < pieces; ++i) bytes += message.piece;
  }
  if (!error) ++this->completed;
  --this->sending;
}

}  // namespace hornbeamspool::standin
