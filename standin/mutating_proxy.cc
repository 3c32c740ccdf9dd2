#include "standin/mutating_proxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "http/address.h"
#include "standin/byte_sender.h"
#include "standin/listen.h"

namespace hornbeamspool::standin {
namespace {

namespace net = boost::asio;
using boost::system::error_code;

constexpr std::size_t kBufferBytes = 64 * 1024;

}  // namespace

// The two connections of one caller.
struct MutatingProxy::Link {
  http::TcpSocket caller;
  http::TcpSocket server;

  void Close() {
    error_code ignored;
    this->caller.close(ignored);
    this->server.close(ignored);
  }
};

MutatingProxy::MutatingProxy(net::io_context& io, MutatingProxyOptions options)
    : io(&io),
      options(std::move(options)),
      acceptor(io),
      mutator(this->options.seed) {}

std::uint16_t MutatingProxy::Listen(std::string_view address) {
  const std::uint16_t port = standin::Listen(this->acceptor, address);
  if (port != 0) net::co_spawn(*this->io, this->Accept(), net::detached);
  return port;
}

http::Task<void> MutatingProxy::Accept() {
  while (true) {
    http::TcpSocket socket = co_await this->acceptor.async_accept(http::kAwait);
    auto link = std::make_shared<Link>(
        Link{std::move(socket), http::TcpSocket(*this->io)});
    net::co_spawn(*this->io, this->Serve(std::move(link)), net::detached);
  }
}

http::Task<void> MutatingProxy::Serve(std::shared_ptr<Link> link) {
  const auto endpoint = http::ParseTcpEndpoint(this->options.target);
  error_code error;
  if (!endpoint) co_return;
  co_await link->server.async_connect(*endpoint,
                                      net::redirect_error(http::kAwait, error));
  if (error) co_return;
  link->caller.set_option(net::ip::tcp::no_delay(true), error);
  net::co_spawn(*this->io, this->PassRequests(link), net::detached);
  co_await this->PassAnswers(link);
}

http::Task<void> MutatingProxy::PassRequests(std::shared_ptr<Link> link) {
  std::vector<char> buffer(kBufferBytes);
  error_code error;
  while (true) {
    const std::size_t count = co_await link->caller.async_read_some(
        net::buffer(buffer), net::redirect_error(http::kAwait, error));
    if (error) break;
    co_await net::async_write(link->server, net::buffer(buffer.data(), count),
                              net::redirect_error(http::kAwait, error));
    if (error) break;
  }
  link->Close();
}

// Closes the connections after a malformed answer: a reader that expects more
// bytes would wait for its timeout.
http::Task<void> MutatingProxy::PassAnswers(std::shared_ptr<Link> link) {
  std::vector<char> buffer(kBufferBytes);
  error_code error;
  while (true) {
    const std::size_t count = co_await link->server.async_read_some(
        net::buffer(buffer), net::redirect_error(http::kAwait, error));
    if (error) break;
    std::string bytes(buffer.data(), count);
    const bool mutated = this->mutator.Chance(this->options.mutated);
    if (mutated) bytes = this->mutator.Mutate(std::move(bytes));
    const std::vector<std::size_t> pieces =
        this->mutator.Split(bytes.size(), this->options.split);
    if (!co_await SendInPieces(link->caller, bytes, pieces)) break;
    if (mutated) break;
  }
  link->Close();
}

}  // namespace hornbeamspool::standin
