// Addresses written as `ip:port`.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace hornbeamspool::http {

// Empty when `text` is not an IP number, a colon and a port.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);
std::optional<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(
    std::string_view text);

}  // namespace hornbeamspool::http
