// Wakes the event loop of an io_context from another thread.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <utility>

namespace hornbeamspool {

// Runs a handler on the event loop after a notification. Notifications that
// arrive before the handler starts are merged into one call.
class IoWakeup {
 public:
  // `handler` is called on the thread of `io`.
  IoWakeup(boost::asio::io_context& io, std::function<void()> handler)
      : io(&io), handler(std::move(handler)) {}

  // May be called from any thread.
  void Notify() {
    if (this->scheduled.exchange(true)) return;
    boost::asio::post(*this->io, [this] {
      this->scheduled.store(false);
      this->handler();
    });
  }

 private:
  boost::asio::io_context* io;
  std::function<void()> handler;
  std::atomic<bool> scheduled{false};
};

}  // namespace hornbeamspool
