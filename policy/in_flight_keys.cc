#include "policy/in_flight_keys.h"

namespace hornbeamspool::policy {
namespace {

// Organisation names contain no line feed, so the joined key is unambiguous.
std::string Joined(std::string_view organisation, std::string_view key) {
  std::string joined(organisation);
  joined += '\n';
  joined += key;
  return joined;
}

}  // namespace

bool InFlightKeys::Begin(std::string_view organisation,
                         std::string_view request_key) {
  return this->in_progress.insert(Joined(organisation, request_key)).second;
}

void InFlightKeys::End(std::string_view organisation,
                       std::string_view request_key) {
  this->in_progress.erase(Joined(organisation, request_key));
}

}  // namespace hornbeamspool::policy
