#include "http/message.h"

#include <boost/beast/core/string.hpp>
#include <charconv>
#include <span>
#include <utility>

namespace hornbeamspool::http {
namespace {

std::string_view FindHeader(std::span<const Header> headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (boost::beast::iequals(header.name, name)) return header.value;
  }
  return {};
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned byte = 0;
    const bool is_escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, byte, 16).ec ==
            std::errc{};
    if (!is_escape) {
      decoded += text[i];
      continue;
    }
    decoded += static_cast<char>(byte);
    i += 2;
  }
  return decoded;
}

}  // namespace

std::string_view Request::HeaderValue(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view Response::HeaderValue(std::string_view name) const {
  return FindHeader(this->headers, name);
}

std::string_view Request::Path() const {
  const std::string_view target = this->target;
  return target.substr(0, target.find('?'));
}

std::string Request::QueryValue(std::string_view name) const {
  const std::size_t query_start = this->target.find('?');
  if (query_start == std::string::npos) return {};
  std::string_view query = this->target;
  query.remove_prefix(query_start + 1);
  while (!query.empty()) {
    const std::string_view pair = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) != name) continue;
    if (equals == std::string_view::npos) return {};
    return PercentDecode(pair.substr(equals + 1));
  }
  return {};
}

Response JsonResponse(std::uint16_t status, std::string body) {
  Response response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = std::move(body);
  return response;
}

}  // namespace hornbeamspool::http
