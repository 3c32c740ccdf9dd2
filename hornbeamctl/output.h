// What operators see: tables for people, JSON for programs.
#pragma once

#include <boost/json/value.hpp>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::ctl {

// Text of a JSON value without quotes; empty when it is null.
std::string PlainText(const boost::json::value& value);

// Prints the named members of each object of `list` as aligned columns.
void PrintTable(const boost::json::value& list,
                std::span<const std::string_view> columns);

// Prints each member of an object that is not a list, one a line.
void PrintMembers(const boost::json::value& object);

void PrintJson(const boost::json::value& value);

}  // namespace hornbeamspool::ctl
