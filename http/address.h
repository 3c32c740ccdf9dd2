// Parses socket addresses written as `ip:port`.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string_view>

namespace hornbeamspool::http {

// Parses `text`, an IPv4 or IPv6 address, a colon and a port; brackets around
// the IP address are allowed. Returns nullopt when it is malformed. Doesn't
// resolve host names.
std::optional<boost::asio::ip::tcp::endpoint> ParseTcpEndpoint(
    std::string_view text);
std::optional<boost::asio::ip::udp::endpoint> ParseUdpEndpoint(
    std::string_view text);

}  // namespace hornbeamspool::http
