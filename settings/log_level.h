// The log level, a setting of every process.
#pragma once

#include <string>

namespace hornbeamspool::settings {

class ObjectReader;

// Reads the member `log_level`: debug, info (the default), warn or error.
std::string ReadLogLevel(ObjectReader& reader);

}  // namespace hornbeamspool::settings
