// The setting of the log level, common to all kinds of processes.
#pragma once

#include <string>

namespace hornbeamspool::settings {

class ObjectReader;

// Reads `log_level`: debug, info (the default), warn or error.
std::string ReadLogLevel(ObjectReader& reader);

}  // namespace hornbeamspool::settings
