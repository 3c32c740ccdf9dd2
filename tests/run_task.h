// Test helper that runs one coroutine to its end.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <utility>

#include "http/task.h"

namespace hornbeamspool {

// Runs `io` until `task` has returned, and returns its result. Returns a
// default T when the task throws.
template <typename T>
T RunTask(boost::asio::io_context& io, http::Task<T> task) {
  T result{};
  boost::asio::co_spawn(io, std::move(task),
                        [&](const std::exception_ptr&, T value) {
                          result = std::move(value);
                          io.stop();
                        });
  io.restart();
  io.run();
  return result;
}

}  // namespace hornbeamspool
