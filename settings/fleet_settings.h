// Parsing and validation of a fleet configuration.
#pragma once

#include <boost/leaf/result.hpp>
#include <string_view>

#include "policy/fleet_config.h"

namespace hornbeamspool::settings {

// On failure loads a SettingsErrorList with all errors.
boost::leaf::result<policy::FleetConfig> ParseFleetConfig(
    std::string_view text);

}  // namespace hornbeamspool::settings
