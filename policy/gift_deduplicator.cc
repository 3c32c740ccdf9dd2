#include "policy/gift_deduplicator.h"

namespace hornbeamspool::policy {

bool GiftDeduplicator::Accept(std::uint64_t id, std::uint64_t receiver,
                              coordination::TimePoint now) {
  while (!this->accepted.empty() &&
         now - this->accepted.front().at > kRetention) {
    this->ids.erase(this->accepted.front().id);
    this->accepted.pop_front();
  }
  if (receiver != this->incarnation) return false;
  if (!this->ids.insert(id).second) return false;
  this->accepted.push_back({id, now});
  return true;
}

}  // namespace hornbeamspool::policy
