// The platform store's clock, as one of its answers told it.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

class StoreClock {
 public:
  // An answer that came now told this time.
  void Set(std::int64_t store_ms, coordination::TimePoint now) {
    this->store_ms = store_ms;
    this->updated_at = now;
  }

  // The store's clock now; never ahead of it, since the answer took its time.
  std::int64_t At(coordination::TimePoint now) const {
    return this->store_ms + coordination::Milliseconds(now - this->updated_at);
  }

  // Whether an answer came in this time.
  bool UpdatedWithin(coordination::Duration age,
                     coordination::TimePoint now) const {
    return this->store_ms != 0 && now - this->updated_at < age;
  }

 private:
  std::int64_t store_ms = 0;  // 0: nothing was heard yet
  coordination::TimePoint updated_at{};
};

}  // namespace hornbeamspool::policy
