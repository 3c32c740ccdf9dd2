// Wakes a thread that sleeps until there is work.
#pragma once

#include <condition_variable>
#include <mutex>

#include "coordination/time.h"

namespace hornbeamspool {

// An event that resets itself: notifications before a wait end it at once, and
// several of them count as one.
class Wakeup {
 public:
  // Wakes the waiting thread. May be called from any thread.
  void Notify() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->notified = true;
    }
    this->condition.notify_one();
  }

  // Blocks until a notification or for `timeout` at most.
  void WaitFor(coordination::Duration timeout) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->condition.wait_for(lock, timeout, [this] { return this->notified; });
    this->notified = false;
  }

 private:
  std::mutex mutex;
  std::condition_variable condition;
  bool notified = false;
};

}  // namespace hornbeamspool
