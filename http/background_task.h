// Starts coroutines that no other coroutine awaits, and runs event loops.
// Exceptions that leave a coroutine or a handler are reported; they don't end
// the process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

#include "http/task.h"

namespace hornbeamspool::http {

// Called with the message of an exception that left a coroutine.
using ExceptionHandler = std::function<void(std::string_view)>;

// Starts `task`. If an exception ends it, calls `on_exception` once.
void Spawn(boost::asio::io_context& io, Task<void> task,
           ExceptionHandler on_exception);

// Starts the task that `begin` returns. Whenever an exception ends the task,
// calls `on_exception` and, after a pause, starts a new one. A task that
// returns normally is not restarted.
void SpawnBackgroundTask(boost::asio::io_context& io,
                         std::function<Task<void>()> begin,
                         ExceptionHandler on_exception);

// Runs the handlers of `io` until it is stopped or has no work left. Calls
// `on_exception` for each exception that leaves a handler, and goes on.
void RunEventLoop(boost::asio::io_context& io,
                  const ExceptionHandler& on_exception);

}  // namespace hornbeamspool::http
