#include "gateway/spawn.h"

#include <string>
#include <utility>

#include "gateway/event_log.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "http/background_task.h"
#include "policy/event.h"

namespace hornbeamspool::gateway {

void LogException(const Context& context, std::string_view name,
                  std::string_view message) {
  std::string fields = policy::KeyValue("duty", name);
  fields += ' ' + policy::KeyValue("fault", message);
  context.metrics->Add(Counter::kFaults);
  context.log->Write(LogKind::kFault, fields, Now());
}

void Spawn(const Context& context, std::string_view name, http::Task<void> task,
           std::function<void()> recover) {
  http::Spawn(*context.io, std::move(task),
              [context, name = std::string(name),
               recover = std::move(recover)](std::string_view message) {
                LogException(context, name, message);
                if (recover) recover();
              });
}

void SpawnBackgroundTask(const Context& context, std::string_view name,
                         std::function<http::Task<void>()> begin) {
  http::SpawnBackgroundTask(
      *context.io, std::move(begin),
      [context, name = std::string(name)](std::string_view message) {
        LogException(context, name, message);
      });
}

}  // namespace hornbeamspool::gateway
