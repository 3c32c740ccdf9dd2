// Parses and validates a fleet configuration.
#pragma once

#include <boost/leaf/result.hpp>
#include <string_view>

#include "policy/fleet_config.h"

namespace hornbeamspool::settings {

// Fails with ValidationErrors that hold every error, not only the first.
boost::leaf::result<policy::FleetConfig> ParseFleetConfig(
    std::string_view text);

}  // namespace hornbeamspool::settings
