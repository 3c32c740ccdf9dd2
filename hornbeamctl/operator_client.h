// Calls of the operators' listeners, one at a time.
#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamspool::ctl {

struct CallResult {
  bool reached = false;
  std::uint16_t status = 0;
  boost::json::value body;  // null when the answer was not JSON
};

class OperatorClient {
 public:
  OperatorClient(std::string address, std::string key);

  CallResult Get(const std::string& target) const;
  CallResult Send(std::string_view method, const std::string& target,
                  std::string body) const;

  // The same key at another node.
  OperatorClient At(std::string address) const;
  const std::string& Address() const { return this->address; }

 private:
  std::string address;
  std::string key;
};

// `text` with everything that has a meaning in a query percent-encoded.
std::string QueryEncoded(std::string_view text);

}  // namespace hornbeamspool::ctl
