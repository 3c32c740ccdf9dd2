#include "gateway/event_log.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <chrono>
#include <memory>
#include <utility>

#include "hornbeamspool/console_log.h"
#include "policy/event.h"

namespace hornbeamspool::gateway {
namespace {

struct KindTraits {
  std::string_view name;
  std::int64_t lines_per_second;
  log4cplus::LogLevel level;
};

constexpr std::size_t kKinds = static_cast<std::size_t>(LogKind::kCount);

// Indexed by LogKind. A line takes about 20 us of a VM's quarter core; all
// kinds together stay below 3% of it.
constexpr std::array<KindTraits, kKinds> kTraits{{
    {"started", 10, log4cplus::INFO_LOG_LEVEL},
    {"reloaded", 10, log4cplus::INFO_LOG_LEVEL},
    {"stopping", 10, log4cplus::INFO_LOG_LEVEL},
    {"stopped", 10, log4cplus::INFO_LOG_LEVEL},
    {"config", 20, log4cplus::INFO_LOG_LEVEL},
    {"upstream", 50, log4cplus::INFO_LOG_LEVEL},
    {"crash", 50, log4cplus::WARN_LOG_LEVEL},
    {"part", 30, log4cplus::INFO_LOG_LEVEL},
    {"poison_part", 20, log4cplus::WARN_LOG_LEVEL},
    {"rate_limit", 30, log4cplus::INFO_LOG_LEVEL},
    {"dependency", 20, log4cplus::WARN_LOG_LEVEL},
    {"move", 20, log4cplus::INFO_LOG_LEVEL},
    {"budget", 20, log4cplus::INFO_LOG_LEVEL},
    {"refused", 50, log4cplus::WARN_LOG_LEVEL},
    {"send_failed", 50, log4cplus::WARN_LOG_LEVEL},
    {"broken", 50, log4cplus::WARN_LOG_LEVEL},
    {"served", 50, log4cplus::DEBUG_LOG_LEVEL},
    {"overload", 30, log4cplus::WARN_LOG_LEVEL},
    {"client", 20, log4cplus::WARN_LOG_LEVEL},
    {"fault", 20, log4cplus::ERROR_LOG_LEVEL},
}};

}  // namespace

EventLog::EventLog(std::string vm, std::string_view level) : vm(std::move(vm)) {
  StartConsoleLog(level, LogStream::kOutput);
}

void EventLog::Emit(LogKind kind, std::string_view fields) {
  const KindTraits& traits = kTraits.at(static_cast<std::size_t>(kind));
  log4cplus::Logger logger = log4cplus::Logger::getRoot();
  if (!logger.isEnabledFor(traits.level)) return;
  std::string line = policy::KeyValue("event", traits.name);
  line += ' ' + policy::KeyValue("vm", this->vm);
  line += ' ';
  line += fields;
  logger.forcedLog(traits.level, line);
}

void EventLog::Write(LogKind kind, std::string_view fields,
                     coordination::TimePoint now) {
  const auto index = static_cast<std::size_t>(kind);
  RateLimit& limit = this->limits.at(index);
  if (now - limit.window_start >= std::chrono::seconds(1)) {
    if (limit.dropped > 0) {
      this->Emit(kind, policy::KeyValue("left_out", limit.dropped));
    }
    limit = RateLimit{now, 0, 0};
  }
  if (limit.written >= kTraits.at(index).lines_per_second) {
    ++limit.dropped;
    return;
  }
  ++limit.written;
  this->Emit(kind, fields);
}

}  // namespace hornbeamspool::gateway
