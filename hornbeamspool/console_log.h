// Logging to standard output or standard error.
#pragma once

#include <string_view>

namespace hornbeamspool {

enum class LogStream : bool { kOutput, kError };

// Writes log lines of at least `level` (debug, info, warn or error) to
// `stream`, in place of earlier log outputs.
void StartConsoleLog(std::string_view level, LogStream stream);

}  // namespace hornbeamspool
