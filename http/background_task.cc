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

// Pause before a duty is begun again: a fault that stays costs little.
constexpr coordination::Duration kRestartPause = std::chrono::milliseconds(200);

std::string TextOf(const std::exception_ptr& fault) {
  try {
    std::rethrow_exception(fault);
  } catch (const std::exception& exception) {
    return exception.what();
  } catch (...) {
    return "not a standard exception";
  }
}

Task<void> RunUntilDone(boost::asio::io_context& io,
                        std::function<Task<void>()> begin,
                        ExceptionHandler on_exception) {
  Timer timer(io);
  while (true) {
    std::exception_ptr fault;
    try {
      co_await begin();
      co_return;
    } catch (...) {
      fault = std::current_exception();
    }
    on_exception(TextOf(fault));
    timer.expires_after(kRestartPause);
    co_await timer.async_wait(kAwait);
  }
}

}  // namespace

void Spawn(boost::asio::io_context& io, Task<void> task,
           ExceptionHandler on_exception) {
  boost::asio::co_spawn(io, std::move(task),
                        [on_exception = std::move(on_exception)](
                            const std::exception_ptr& fault) {
                          if (fault) on_exception(TextOf(fault));
                        });
}

void SpawnBackgroundTask(boost::asio::io_context& io,
                         std::function<Task<void>()> begin,
                         ExceptionHandler on_exception) {
  boost::asio::co_spawn(
      io, RunUntilDone(io, std::move(begin), std::move(on_exception)),
      boost::asio::detached);
}

}  // namespace hornbeamspool::http
