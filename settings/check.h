// Validates settings files of any kind.
#pragma once

#include <string_view>

#include "settings/validation_error.h"

namespace hornbeamspool::settings {

// Returns every error of a fleet configuration; empty when it is valid.
ValidationErrors ValidateFleetConfig(std::string_view text);

// Returns every error of a settings text; empty when it is valid. The member
// `kind` selects the checks: node, gateway, else those of a fleet
// configuration.
ValidationErrors ValidateSettings(std::string_view text);

}  // namespace hornbeamspool::settings
