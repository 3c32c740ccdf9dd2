// HTTP requests and responses as plain data. No Beast type appears in a header
// of this package.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::http {

struct Header {
  std::string name;
  std::string value;
};

struct Request {
  std::string method = "GET";
  std::string target = "/";
  std::vector<Header> headers;
  std::string body;
  // Sent in place of `body` unless it is empty. Its owner must outlive the call
  // that sends the request.
  std::string_view borrowed_body;

  std::string_view Body() const {
    if (!this->borrowed_body.empty()) return this->borrowed_body;
    return this->body;
  }
  // The first value of the header `name`, which is case-insensitive. Empty when
  // the header is absent.
  std::string_view HeaderValue(std::string_view name) const;
  // The target without its query.
  std::string_view Path() const;
  // The percent-decoded value of the first query parameter `name`. Empty when
  // the parameter is absent.
  std::string QueryValue(std::string_view name) const;
};

struct Response {
  std::uint16_t status = 200;
  std::vector<Header> headers;
  std::string body;

  // As Request::HeaderValue().
  std::string_view HeaderValue(std::string_view name) const;
};

// Makes a response with `body`, a JSON text, and its content type.
Response JsonResponse(std::uint16_t status, std::string body);

}  // namespace hornbeamspool::http
