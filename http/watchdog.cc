#include "http/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <utility>

#include "http/clock.h"
#include "http/task.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;

// Also the maximum delay with which a deadline is noticed.
constexpr coordination::Duration kSweepInterval = std::chrono::milliseconds(50);

}  // namespace

struct Watchdog::State {
  explicit State(net::io_context& io) : io(&io) {}
  net::io_context* io;
  std::list<Guard*> guards;
  bool sweeping = false;
};

Watchdog::Watchdog(net::io_context& io) : state(std::make_shared<State>(io)) {}

// Returns when no guard is left, so that io_context::run() can return. The next
// guard starts a new sweep.
Task<void> Watchdog::Sweep(std::shared_ptr<State> state) {
  Timer timer(*state->io);
  while (!state->guards.empty()) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(kAwait);
    const coordination::TimePoint now = Now();
    for (Guard* guard : state->guards) {
      if (guard->deadline > now) continue;
      guard->expired = true;
      guard->cancel();
    }
  }
  state->sweeping = false;
}

Watchdog::Guard::Guard(Watchdog& watchdog, std::function<void()> cancel)
    : state(watchdog.state), cancel(std::move(cancel)) {
  this->position = this->state->guards.insert(this->state->guards.end(), this);
  if (this->state->sweeping) return;
  this->state->sweeping = true;
  net::co_spawn(*this->state->io, Sweep(this->state), net::detached);
}

Watchdog::Guard::~Guard() { this->state->guards.erase(this->position); }

void Watchdog::Guard::Arm(coordination::Duration timeout) {
  this->expired = false;
  this->deadline = Now() + timeout;
}

void Watchdog::Guard::Disarm() {
  this->deadline = coordination::TimePoint::max();
}

}  // namespace hornbeamspool::http
