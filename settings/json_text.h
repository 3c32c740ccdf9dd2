// JSON with comments and trailing commas.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <string_view>

#include "settings/fault.h"

namespace hornbeamspool::settings {

// Parses a text. On failure loads a FaultList that tells line and column.
boost::leaf::result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace hornbeamspool::settings
