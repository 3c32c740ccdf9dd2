#include "settings/log_level.h"

#include <array>
#include <string_view>

#include "settings/object_reader.h"

namespace hornbeamspool::settings {
namespace {

constexpr std::array<std::string_view, 4> kLogLevels{"debug", "info", "warn",
                                                     "error"};
constexpr std::size_t kDefaultIndex = 1;

}  // namespace

std::string ReadLogLevel(ObjectReader& reader) {
  return std::string(
      kLogLevels.at(reader.ChoiceOr("log_level", kLogLevels, kDefaultIndex)));
}

}  // namespace hornbeamspool::settings
