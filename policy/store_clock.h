// An estimate of the platform store's clock.
#pragma once

#include <cstdint>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Estimates the store's clock from the time in its latest answer and the time
// that has passed since on the monotonic clock.
class StoreClock {
 public:
  // Sets the store's time, in milliseconds, from an answer received at `now`.
  void Set(std::int64_t store_ms, coordination::TimePoint now) {
    this->store_ms = store_ms;
    this->updated_at = now;
  }

  // The estimate at `now`, in milliseconds. It is behind the store's clock by
  // the time that the answer was in transit.
  std::int64_t At(coordination::TimePoint now) const {
    return this->store_ms + coordination::Milliseconds(now - this->updated_at);
  }

  // Whether an answer was received less than `age` before `now`.
  bool UpdatedWithin(coordination::Duration age,
                     coordination::TimePoint now) const {
    return this->store_ms != 0 && now - this->updated_at < age;
  }

 private:
  std::int64_t store_ms = 0;  // 0 before the first answer
  coordination::TimePoint updated_at{};
};

}  // namespace hornbeamspool::policy
