// Validation of settings files of any kind.
#pragma once

#include <string_view>

#include "settings/settings_error.h"

namespace hornbeamspool::settings {

// Returns all errors of a fleet configuration; empty when it is valid.
SettingsErrorList CheckFleetConfig(std::string_view text);

// Returns all errors of the settings of a node, a gateway or a fleet, depending
// on the member `kind`; empty when they are valid.
SettingsErrorList CheckSettings(std::string_view text);

}  // namespace hornbeamspool::settings
