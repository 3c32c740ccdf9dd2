#include "http/address.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <utility>

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;

using AddressAndPort = std::pair<net::ip::address, std::uint16_t>;

std::optional<AddressAndPort> ParseAddressAndPort(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string_view host = text.substr(0, colon);
  if (host.starts_with('[') && host.ends_with(']')) {
    host = host.substr(1, host.size() - 2);
  }
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc{} || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  boost::system::error_code code;
  const auto address = net::ip::make_address(std::string(host), code);
  if (code) return std::nullopt;
  return AddressAndPort{address, port};
}

}  // namespace

std::optional<net::ip::tcp::endpoint> ParseTcpEndpoint(std::string_view text) {
  const auto parts = ParseAddressAndPort(text);
  if (!parts) return std::nullopt;
  return net::ip::tcp::endpoint(parts->first, parts->second);
}

std::optional<net::ip::udp::endpoint> ParseUdpEndpoint(std::string_view text) {
  const auto parts = ParseAddressAndPort(text);
  if (!parts) return std::nullopt;
  return net::ip::udp::endpoint(parts->first, parts->second);
}

}  // namespace hornbeamspool::http
