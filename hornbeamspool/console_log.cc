#include "hornbeamspool/console_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>

#include <memory>

namespace hornbeamspool {
namespace {

log4cplus::LogLevel LevelOf(std::string_view name) {
  if (name == "debug") return log4cplus::DEBUG_LOG_LEVEL;
  if (name == "warn") return log4cplus::WARN_LOG_LEVEL;
  if (name == "error") return log4cplus::ERROR_LOG_LEVEL;
  return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

void StartConsoleLog(std::string_view level, LogStream stream) {
  log4cplus::SharedAppenderPtr console(
      new log4cplus::ConsoleAppender(stream == LogStream::kError, true));
  console->setLayout(std::make_unique<log4cplus::PatternLayout>(
      LOG4CPLUS_TEXT("%D{%Y-%m-%dT%H:%M:%S.%qZ} level=%p %m%n")));
  log4cplus::Logger root = log4cplus::Logger::getRoot();
  root.removeAllAppenders();
  root.addAppender(console);
  root.setLogLevel(LevelOf(level));
}

}  // namespace hornbeamspool
