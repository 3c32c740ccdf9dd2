// Deadlines for many operations at the cost of one timer: a sweep looks at
// them all a few times a second. Arming costs a store, so that it can be done
// for each piece of a stream.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <memory>

#include "coordination/time.h"
#include "http/task.h"

namespace hornbeamspool::http {

class Watchdog {
 private:
  struct State;

 public:
  // One watched operation. Lives as long as what it watches.
  class Guard {
   public:
    // `cancel` is called once a deadline has passed.
    Guard(Watchdog& watchdog, std::function<void()> cancel);
    Guard(const Guard&) = delete;
    Guard& operator=(const Guard&) = delete;
    ~Guard();

    // The operation that begins now may take this long. Once that has passed,
    // each sweep cancels, until the guard is armed again or disarmed.
    void Arm(coordination::Duration longest);
    void Disarm();
    // True when the last armed deadline has passed.
    bool Expired() const { return this->expired; }

   private:
    friend class Watchdog;
    std::shared_ptr<Watchdog::State> state;
    std::function<void()> cancel;
    std::list<Guard*>::iterator place;
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
