// Output of hornbeamctl: aligned tables, or JSON for programs.
#pragma once

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::ctl {

// Returns a string's content without quotes, the JSON text of any other value,
// and an empty string for null.
std::string PlainText(const boost::json::value& value);

// Prints the named members of each object in the array `list` as aligned
// columns under a heading. Members that an object lacks are left blank.
void PrintTable(const boost::json::value& list,
                std::span<const std::string_view> columns);

// Prints the members of an object as `key: value` lines, without arrays.
void PrintMembers(const boost::json::value& object);

// Prints the value as one line of JSON.
void PrintJson(const boost::json::value& value);

}  // namespace hornbeamspool::ctl
