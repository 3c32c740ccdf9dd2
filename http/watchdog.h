// Timeouts for many asynchronous operations with a single timer. A periodic
// sweep checks all deadlines, so that arming one only stores a time point. That
// is cheap enough to do for every read and write of a stream.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "coordination/time.h"
#include "http/task.h"

namespace hornbeamspool::http {

// Watches the deadlines of its guards. A deadline is noticed up to one sweep
// interval (50 ms) late. Not thread-safe: runs on the one thread of its
// io_context.
class Watchdog {
 private:
  struct State;

 public:
  // The timeout of one operation at a time. `cancel` must stay callable while
  // the guard exists. The guard may outlive the Watchdog.
  class Guard {
   public:
    // `cancel` aborts the watched operation. It must not destroy the guard.
    Guard(Watchdog& watchdog, std::function<void()> cancel);
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    ~Guard();

    // Sets the deadline to `timeout` from now. After the deadline, every sweep
    // calls `cancel` until the guard is armed again or disarmed: a single call
    // could come between two operations and abort neither.
    void Arm(coordination::Duration timeout);
    // Removes the deadline. Expired() keeps its value.
    void Disarm();
    // True when a sweep has found the deadline that Arm() set last to have
    // passed.
    bool Expired() const { return this->expired; }

   private:
    friend class Watchdog;
    std::shared_ptr<Watchdog::State> state;
    std::function<void()> cancel;
    std::list<Guard*>::iterator position;
    coordination::TimePoint deadline = coordination::TimePoint::max();
    bool expired = false;
  };

  explicit Watchdog(boost::asio::io_context& io);
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

 private:
  static Task<void> Sweep(std::shared_ptr<State> state);

  std::shared_ptr<State> state;
};

}  // namespace hornbeamspool::http
