// A value that one thread publishes whole and others read whole.
#pragma once

#include <memory>
#include <mutex>
#include <utility>

namespace hornbeamspool {

template <typename T>
class Snapshot {
 public:
  void Publish(T value) {
    auto next = std::make_shared<const T>(std::move(value));
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->current = std::move(next);
  }

  std::shared_ptr<const T> Read() const {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->current;
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const T> current = std::make_shared<const T>();
};

}  // namespace hornbeamspool
