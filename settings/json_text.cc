#include "settings/json_text.h"

#include <algorithm>
#include <boost/json/stream_parser.hpp>
#include <string>

namespace hornbeamspool::settings {
namespace {

// Formats a byte offset as "line 3, column 7", both counted from 1.
std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t line_start = before.rfind('\n');
  const std::size_t column =
      line_start == std::string_view::npos ? offset + 1 : offset - line_start;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

boost::leaf::result<boost::json::value> ParseJsonText(std::string_view text) {
  boost::json::parse_options options;
  options.allow_comments = true;
  options.allow_trailing_commas = true;
  boost::json::stream_parser parser({}, options);
  boost::json::error_code error;
  const std::size_t consumed =
      parser.write_some(text.data(), text.size(), error);
  if (!error) parser.finish(error);
  if (error) {
    return boost::leaf::new_error(
        SettingsErrorList{{LineAndColumn(text, consumed), error.message()}});
  }
  const std::string_view rest = text.substr(consumed);
  const std::size_t extra = rest.find_first_not_of(" \t\r\n");
  if (extra != std::string_view::npos) {
    return boost::leaf::new_error(
        SettingsErrorList{{LineAndColumn(text, consumed + extra),
                           "text after the end of the document"}});
  }
  return parser.release();
}

}  // namespace hornbeamspool::settings
