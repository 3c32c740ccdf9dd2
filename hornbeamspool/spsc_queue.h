// A bounded queue from one thread to another.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace hornbeamspool {

// Lock-free queue with a single producer thread and a single consumer thread.
// It never blocks: a push to a full queue fails and drops the message. A
// producer that must not lose messages checks FreeSlots() first.
template <typename T>
class SpscQueue {
 public:
  // `notify` is called on the producer's thread after each successful push, to
  // wake the consumer.
  SpscQueue(std::size_t capacity, std::function<void()> notify)
      : queue(capacity), notify(std::move(notify)) {}
  SpscQueue(const SpscQueue&) = delete;
  SpscQueue& operator=(const SpscQueue&) = delete;
  ~SpscQueue() {
    this->queue.consume_all([](T* message) { delete message; });
  }

  // Returns false, and drops `message`, when the queue is full.
  bool TryPush(T message) {
    auto owned = std::make_unique<T>(std::move(message));
    if (!this->queue.push(owned.get())) return false;
    static_cast<void>(owned.release());
    this->notify();
    return true;
  }

  // Consumer: passes every queued message to `handler`, oldest first. Returns
  // the number of messages.
  template <typename Handler>
  std::size_t Drain(const Handler& handler) {
    const std::size_t count = this->queue.read_available();
    for (std::size_t i = 0; i < count; ++i) {
      // Out of the queue first: `handler` may throw.
      T* message = nullptr;
      if (!this->queue.pop(message)) return i;
      const std::unique_ptr<T> owned(message);
      handler(std::move(*owned));
    }
    return count;
  }

  // Producer: number of pushes that are sure to succeed.
  std::size_t FreeSlots() const { return this->queue.write_available(); }

 private:
  boost::lockfree::spsc_queue<T*> queue;
  std::function<void()> notify;
};

}  // namespace hornbeamspool
