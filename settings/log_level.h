// The level of the log, as every process's settings name it.
#pragma once

#include <string>

namespace hornbeamspool::settings {

class ObjectReader;

// `log_level`: debug, info (the default), warn or error.
std::string ReadLogLevel(ObjectReader& reader);

}  // namespace hornbeamspool::settings
