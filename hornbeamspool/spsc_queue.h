// A bounded ring from one thread to another.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace hornbeamspool {

// One thread pushes and one thread drains. A full ring refuses the push: the
// caller states what happens then.
template <typename T>
class SpscQueue {
 public:
  // `wake` is called after each push, on the pushing thread.
  SpscQueue(std::size_t capacity, std::function<void()> wake)
      : queue(capacity), wake(std::move(wake)) {}
  SpscQueue(const SpscQueue&) = delete;
  SpscQueue& operator=(const SpscQueue&) = delete;
  ~SpscQueue() {
    this->queue.consume_all([](T* message) { delete message; });
  }

  bool TryPush(T message) {
    auto owned = std::make_unique<T>(std::move(message));
    if (!this->queue.push(owned.get())) return false;
    static_cast<void>(owned.release());
    this->wake();
    return true;
  }

  // Hands each waiting message to `take`. Returns how many there were.
  template <typename Take>
  std::size_t Drain(const Take& take) {
    return this->queue.consume_all([&](T* message) {
      const std::unique_ptr<T> owned(message);
      take(std::move(*owned));
    });
  }

  std::size_t FreeSlots() const { return this->queue.write_available(); }

 private:
  boost::lockfree::spsc_queue<T*> queue;
  std::function<void()> wake;
};

}  // namespace hornbeamspool
