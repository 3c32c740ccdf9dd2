// Checks a settings text of any kind.
#pragma once

#include <string_view>

#include "settings/validation_error.h"

namespace hornbeamspool::settings {

// Every fault of a fleet configuration; empty when it is sound.
ValidationErrors ValidateFleetConfig(std::string_view text);

// The same for a text of any kind, as its member `kind` says.
ValidationErrors ValidateSettings(std::string_view text);

}  // namespace hornbeamspool::settings
