// A value that only ever moves forward: each offer carries an epoch, and an
// offer that is not newer than the value held is refused.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace hornbeamspool::coordination {

template <typename T>
class VersionedValue {
 public:
  // Takes `value` when `epoch` is newer than the one held. Returns whether it
  // was taken.
  bool Offer(std::uint64_t epoch, T value) {
    if (epoch <= this->epoch) return false;
    this->epoch = epoch;
    this->value = std::move(value);
    return true;
  }

  // Notes that somebody holds `epoch`. Never changes the value.
  void NoteSeen(std::uint64_t epoch) {
    if (epoch > this->newest_seen) this->newest_seen = epoch;
  }

  // True while a newer epoch is known to exist than the one held.
  bool Stale() const { return this->newest_seen > this->epoch; }

  // 0 when nothing is held.
  std::uint64_t Epoch() const { return this->epoch; }

  // Null when nothing is held.
  const T* Get() const { return this->value ? &*this->value : nullptr; }

 private:
  std::uint64_t epoch = 0;
  std::uint64_t newest_seen = 0;
  std::optional<T> value;
};

}  // namespace hornbeamspool::coordination
