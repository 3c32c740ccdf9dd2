// The request keys of the requests in progress at this node.
#pragma once

#include <set>
#include <string>
#include <string_view>

namespace hornbeamspool::policy {

// Detects a request whose key belongs to a request still in progress. Keys are
// unique within an organisation.
class InFlightKeys {
 public:
  // Adds the key. Returns false if it is already in progress.
  bool Begin(std::string_view organisation, std::string_view request_key);
  // Removes the key.
  void End(std::string_view organisation, std::string_view request_key);

 private:
  std::set<std::string, std::less<>> in_progress;
};

}  // namespace hornbeamspool::policy
