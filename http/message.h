// HTTP messages as the rest of the system sees them. Beast stays inside this
// package.
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

  // First value of a header, compared without case; empty when absent.
  std::string_view HeaderValue(std::string_view name) const;
  // The target up to the query, and the value of one query parameter.
  std::string_view Path() const;
  std::string QueryValue(std::string_view name) const;
};

struct Response {
  std::uint16_t status = 200;
  std::vector<Header> headers;
  std::string body;

  std::string_view HeaderValue(std::string_view name) const;
};

// A response with a JSON body.
Response JsonResponse(std::uint16_t status, std::string body);

}  // namespace hornbeamspool::http
