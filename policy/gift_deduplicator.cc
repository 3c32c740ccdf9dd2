#include "policy/gift_deduplicator.h"

namespace hornbeamspool::policy {

bool GiftDeduplicator::Accept(std::uint64_t id, std::uint64_t receiver,
                              coordination::TimePoint now) {
  while (!this->order.empty() && now - this->order.front().at > kMemory) {
    this->ids.erase(this->order.front().id);
    this->order.pop_front();
  }
  if (receiver != this->incarnation) return false;
  if (!this->ids.insert(id).second) return false;
  this->order.push_back({id, now});
  return true;
}

}  // namespace hornbeamspool::policy
