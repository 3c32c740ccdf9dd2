#include "gateway/spawn.h"

#include <string>
#include <utility>

#include "gateway/event_log.h"
#include "hornbeamspool/clock.h"
#include "http/duty.h"
#include "policy/event.h"

namespace hornbeamspool::gateway {

void LogException(const Context& context, std::string_view name,
                  std::string_view fault) {
  std::string pairs = policy::KeyValue("duty", name);
  pairs += ' ' + policy::KeyValue("fault", fault);
  context.log->Write(LogKind::kFault, pairs, Now());
}

void Spawn(const Context& context, std::string_view name, http::Task<void> task,
           std::function<void()> recover) {
  http::Spawn(*context.io, std::move(task),
              [context, name = std::string(name),
               recover = std::move(recover)](std::string_view fault) {
                LogException(context, name, fault);
                if (recover) recover();
              });
}

void SpawnBackgroundTask(const Context& context, std::string_view name,
                         std::function<http::Task<void>()> begin) {
  http::SpawnDuty(*context.io, std::move(begin),
                  [context, name = std::string(name)](std::string_view fault) {
                    LogException(context, name, fault);
                  });
}

}  // namespace hornbeamspool::gateway
