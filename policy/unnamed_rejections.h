// Services whose upstreams reject requests without naming them. There a
// rejection is certain only on a connection that no earlier request used.
#pragma once

#include <chrono>
#include <map>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class UnnamedRejections {
 public:
  void OnRejection(std::string_view service, coordination::TimePoint now) {
    this->last_seen.insert_or_assign(std::string(service), now);
  }

  // Whether the service has sent one lately.
  bool AreExpected(std::string_view service,
                   coordination::TimePoint now) const {
    const auto found = this->last_seen.find(service);
    return found != this->last_seen.end() && now - found->second < kMemory;
  }

 private:
  static constexpr coordination::Duration kMemory = std::chrono::minutes(10);

  std::map<std::string, coordination::TimePoint, std::less<>> last_seen;
};

}  // namespace hornbeamspool::policy
