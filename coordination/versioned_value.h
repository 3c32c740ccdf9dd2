// A value with an epoch that only increases.
#pragma once

#include <cstdint>
#include <optional>
#include <utility>

namespace hornbeamspool::coordination {

// Holds a value and its epoch. An update whose epoch is not greater than the
// current one is rejected, so that late or repeated messages can't revert it.
template <typename T>
class VersionedValue {
 public:
  // Replaces the value if `epoch` is greater than the current one. Returns
  // whether it did.
  bool Offer(std::uint64_t epoch, T value) {
    if (epoch <= this->epoch) return false;
    this->epoch = epoch;
    this->value = std::move(value);
    return true;
  }

  // Records that another process has a value of this epoch. Doesn't change the
  // value.
  void ObserveEpoch(std::uint64_t epoch) {
    if (epoch > this->newest_seen) this->newest_seen = epoch;
  }

  // Whether a greater epoch than the current one is known to exist.
  bool Stale() const { return this->newest_seen > this->epoch; }

  // The current epoch; 0 before the first accepted offer.
  std::uint64_t Epoch() const { return this->epoch; }

  // The current value; null before the first accepted offer.
  const T* Get() const { return this->value ? &*this->value : nullptr; }

 private:
  std::uint64_t epoch = 0;
  std::uint64_t newest_seen = 0;
  std::optional<T> value;
};

}  // namespace hornbeamspool::coordination
