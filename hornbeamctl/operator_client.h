// A blocking HTTP client for the operators' API of a router.
#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamspool::ctl {

// The result of one call.
struct CallResult {
  bool reached = false;  // whether an HTTP response arrived
  std::uint16_t status = 0;
  boost::json::value body;  // null if the response is not JSON
};

// Sends each request with the operators' key; a call blocks until it has ended.
class OperatorClient {
 public:
  // `address` is HOST:PORT of a router's operators' listener.
  OperatorClient(std::string address, std::string key);

  CallResult Get(const std::string& target) const;
  CallResult Send(std::string_view method, const std::string& target,
                  std::string body) const;

  // Returns a client with the same key for the router at `address`.
  OperatorClient WithAddress(std::string address) const;
  const std::string& Address() const { return this->address; }

 private:
  std::string address;
  std::string key;
};

// Percent-encodes every byte except letters, digits, `-`, `_` and `.`.
std::string EncodeQueryValue(std::string_view text);

}  // namespace hornbeamspool::ctl
