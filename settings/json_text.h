// JSON with comments and trailing commas.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <string_view>

#include "settings/validation_error.h"

namespace hornbeamspool::settings {

// Parses a text. On failure loads a ValidationErrors that tells line and
// column.
boost::leaf::result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace hornbeamspool::settings
