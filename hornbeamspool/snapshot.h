// A value that one thread replaces and others read.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace hornbeamspool {

// Stores the latest version of an immutable value. A version that was read
// stays valid, and unchanged, as long as the reader keeps the pointer.
template <typename T>
class Snapshot {
 public:
  void Publish(T value) {
    auto next = std::make_shared<const T>(std::move(value));
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->current = std::move(next);
  }

  // Never null: a default-constructed value before the first Publish.
  std::shared_ptr<const T> Read() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->current;
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const T> current = std::make_shared<const T>();
};

}  // namespace hornbeamspool
