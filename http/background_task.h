// Coroutines that nobody waits for: an exception that leaves one is told, and
// a duty that must not end is begun again.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string_view>

#include "http/task.h"

namespace hornbeamspool::http {

// Gets the text of an exception that has left a coroutine.
using ExceptionHandler = std::function<void(std::string_view)>;

// Runs `task`.
void Spawn(boost::asio::io_context& io, Task<void> task,
           ExceptionHandler on_exception);

// Runs what `begin` makes; anew, after a pause, whenever an exception ends it.
// A duty that returns has ended.
void SpawnBackgroundTask(boost::asio::io_context& io,
                         std::function<Task<void>()> begin,
                         ExceptionHandler on_exception);

}  // namespace hornbeamspool::http
