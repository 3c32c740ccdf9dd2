// Wakes a thread that waits for work.
#pragma once

#include <condition_variable>
#include <mutex>

#include "coordination/time.h"

namespace hornbeamspool {

class Wakeup {
 public:
  void Notify() {
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->notified = true;
    }
    this->condition.notify_one();
  }

  // Returns after a notification, or when `longest` has passed.
  void WaitFor(coordination::Duration longest) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->condition.wait_for(lock, longest, [this] { return this->notified; });
    this->notified = false;
  }

 private:
  std::mutex mutex;
  std::condition_variable condition;
  bool notified = false;
};

}  // namespace hornbeamspool
