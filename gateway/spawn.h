// Starts the gateway's detached coroutines and logs the exceptions that leave
// them.
#pragma once

#include <functional>
#include <string_view>

#include "gateway/context.h"
#include "http/task.h"

namespace hornbeamspool::gateway {

// Starts `task`, which the log calls `name`. If an exception ends the task,
// logs it and calls `recover`, which resets the state that marks the task as in
// progress.
void Spawn(const Context& context, std::string_view name, http::Task<void> task,
           std::function<void()> recover = {});

// Starts the task that `begin` returns, and starts it again after an exception.
void SpawnBackgroundTask(const Context& context, std::string_view name,
                         std::function<http::Task<void>()> begin);

// Logs the text of an exception that left the coroutine `name`.
void LogException(const Context& context, std::string_view name,
                  std::string_view message);

}  // namespace hornbeamspool::gateway
