// A fault in a settings file.
#pragma once

#include <string>
#include <vector>

namespace hornbeamspool::settings {

struct ValidationError {
  std::string where;  // `line 3, column 7`, or a JSON pointer
  std::string message;
};

using ValidationErrors = std::vector<ValidationError>;

}  // namespace hornbeamspool::settings
