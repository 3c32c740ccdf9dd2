// Parsing of JSON with comments and trailing commas.
#pragma once

#include <boost/json/value.hpp>
#include <boost/leaf/result.hpp>
#include <string_view>

#include "settings/settings_error.h"

namespace hornbeamspool::settings {

// On failure loads a SettingsErrorList with the line and column of the error.
boost::leaf::result<boost::json::value> ParseJsonText(std::string_view text);

}  // namespace hornbeamspool::settings
