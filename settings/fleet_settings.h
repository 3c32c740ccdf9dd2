// Reads and checks a fleet configuration.
#pragma once

#include <boost/leaf/result.hpp>
#include <string_view>

#include "policy/fleet_config.h"

namespace hornbeamspool::settings {

// Every fault is reported. On failure loads a ValidationErrors.
boost::leaf::result<policy::FleetConfig> ParseFleetConfig(
    std::string_view text);

}  // namespace hornbeamspool::settings
