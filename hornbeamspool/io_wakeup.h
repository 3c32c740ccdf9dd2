// Wakes the thread of an io_context, once for any number of notifications
// until it has run.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <utility>

namespace hornbeamspool {

class IoWakeup {
 public:
  // `run` is called on the thread of `io`.
  IoWakeup(boost::asio::io_context& io, std::function<void()> run)
      : io(&io), run(std::move(run)) {}

  void Notify() {
    if (this->scheduled.exchange(true)) return;
    boost::asio::post(*this->io, [this] {
      this->scheduled.store(false);
      this->run();
    });
  }

 private:
  boost::asio::io_context* io;
  std::function<void()> run;
  std::atomic<bool> scheduled{false};
};

}  // namespace hornbeamspool
