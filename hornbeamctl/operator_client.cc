#include "hornbeamctl/operator_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/parse.hpp>
#include <cctype>
#include <exception>
#include <utility>

#include "http/client.h"

namespace hornbeamspool::ctl {

namespace net = boost::asio;

OperatorClient::OperatorClient(std::string address, std::string key)
    : address(std::move(address)), key(std::move(key)) {}

OperatorClient OperatorClient::WithAddress(std::string address) const {
  return {std::move(address), this->key};
}

CallResult OperatorClient::Get(const std::string& target) const {
  return this->Send("GET", target, {});
}

CallResult OperatorClient::Send(std::string_view method,
                                const std::string& target,
                                std::string body) const {
  net::io_context io{1};
  http::Client client(io);
  http::Request request;
  request.method = std::string(method);
  request.target = target;
  request.headers = {{"Authorization", "Bearer " + this->key}};
  request.body = std::move(body);
  const http::FetchOptions options;
  http::FetchResult fetched;
  net::co_spawn(io, client.Fetch(this->address, request, options),
                [&](const std::exception_ptr&, http::FetchResult result) {
                  fetched = std::move(result);
                });
  io.run();
  CallResult result;
  result.reached = fetched.status == http::FetchStatus::kOk;
  result.status = fetched.response.status;
  boost::json::error_code error;
  boost::json::value parsed = boost::json::parse(fetched.response.body, error);
  if (!error) result.body = std::move(parsed);
  return result;
}

std::string EncodeQueryValue(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      encoded += c;
      continue;
    }
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 0xfU];
  }
  return encoded;
}

}  // namespace hornbeamspool::ctl
