// Requests in progress at this node by organisation and key, so that a repeat
// of a key that is still running is told so.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace hornbeamspool::policy {

class InFlightKeys {
 public:
  // Returns false when the key is already in progress.
  bool Begin(std::string_view organisation, std::string_view request_key);
  void End(std::string_view organisation, std::string_view request_key);

 private:
  std::set<std::string, std::less<>> in_progress;
};

}  // namespace hornbeamspool::policy
