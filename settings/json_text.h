// Parses JSON with comments and trailing commas.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <string_view>

#include "settings/validation_error.h"

namespace hornbeamspool::settings {

// Fails with ValidationErrors of one error, which has the line and column.
boost::leaf::result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace hornbeamspool::settings
