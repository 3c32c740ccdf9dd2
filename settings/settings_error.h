// An error in a settings file.
#pragma once

#include <string>
#include <vector>

namespace hornbeamspool::settings {

struct SettingsError {
  std::string where;  // `line 3, column 7` or a JSON pointer
  std::string message;
};

using SettingsErrorList = std::vector<SettingsError>;

}  // namespace hornbeamspool::settings
