// The gateway's coroutines that nobody waits for; their faults go to the log.
#pragma once

#include <functional>
#include <string_view>

#include "gateway/context.h"
#include "http/task.h"

namespace hornbeamspool::gateway {

// Runs `task`, named `name` in the log. When an exception ends it, `recover`
// undoes what the task had marked as under way.
void Spawn(const Context& context, std::string_view name, http::Task<void> task,
           std::function<void()> recover = {});

// Runs a duty for as long as the process lives.
void SpawnBackgroundTask(const Context& context, std::string_view name,
                         std::function<http::Task<void>()> begin);

// One line for an exception that has left a coroutine.
void LogException(const Context& context, std::string_view name,
                  std::string_view fault);

}  // namespace hornbeamspool::gateway
