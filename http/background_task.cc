#include "http/background_task.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <chrono>
#include <exception>
#include <string>
#include <utility>

#include "coordination/time.h"

namespace hornbeamspool::http {
namespace {

// Delay before a task is restarted. Keeps a task that fails at once every time
// from using all CPU time of the thread.
constexpr coordination::Duration kRestartDelay = std::chrono::milliseconds(200);

std::string MessageOf(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "not a standard exception";
  }
}

Task<void> RunWithRestarts(boost::asio::io_context& io,
                           std::function<Task<void>()> begin,
                           ExceptionHandler on_exception) {
  Timer timer(io);
  while (true) {
    std::exception_ptr error;
    try {
      co_await begin();
      co_return;
    } catch (...) {
      error = std::current_exception();
    }
    on_exception(MessageOf(error));
    timer.expires_after(kRestartDelay);
    co_await timer.async_wait(kAwait);
  }
}

}  // namespace

void Spawn(boost::asio::io_context& io, Task<void> task,
           ExceptionHandler on_exception) {
  boost::asio::co_spawn(io, std::move(task),
                        [on_exception = std::move(on_exception)](
                            const std::exception_ptr& error) {
                          if (error) on_exception(MessageOf(error));
                        });
}

void SpawnBackgroundTask(boost::asio::io_context& io,
                         std::function<Task<void>()> begin,
                         ExceptionHandler on_exception) {
  boost::asio::co_spawn(
      io, RunWithRestarts(io, std::move(begin), std::move(on_exception)),
      boost::asio::detached);
}

void RunEventLoop(boost::asio::io_context& io,
                  const ExceptionHandler& on_exception) {
  while (true) {
    try {
      io.run();
      return;
    } catch (...) {
      on_exception(MessageOf(std::current_exception()));
    }
  }
}

}  // namespace hornbeamspool::http
