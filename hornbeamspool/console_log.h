// The process's log on standard output or standard error.
#pragma once

#include <string_view>

namespace hornbeamspool {

enum class LogStream : bool { kOutput, kError };

// Sends the log to the stream, from the level on: debug, info, warn or error.
void StartConsoleLog(std::string_view level, LogStream stream);

}  // namespace hornbeamspool
