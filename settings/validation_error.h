// Errors in settings files.
#pragma once

#include <string>
#include <vector>

namespace hornbeamspool::settings {

struct ValidationError {
  std::string where;  // `line 3, column 7`, or a JSON pointer to the value
  std::string message;
};

using ValidationErrors = std::vector<ValidationError>;

}  // namespace hornbeamspool::settings
