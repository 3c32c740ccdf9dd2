#include "standin/listen.h"

#include "http/address.h"

namespace hornbeamspool::standin {

std::uint16_t Listen(http::TcpAcceptor& acceptor, std::string_view address) {
  const auto endpoint = http::ParseTcpEndpoint(address);
  if (!endpoint) return 0;
  boost::system::error_code error;
  acceptor.open(endpoint->protocol(), error);
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind(*endpoint, error);
  if (!error) {
    acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  return error ? 0 : acceptor.local_endpoint().port();
}

}  // namespace hornbeamspool::standin
