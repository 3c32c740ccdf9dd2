#include "hornbeamctl/output.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iomanip>
#include <iostream>

namespace hornbeamspool::ctl {

namespace json = boost::json;

std::string PlainText(const json::value& value) {
  if (value.is_null()) return {};
  if (value.is_string()) return std::string(value.get_string());
  return json::serialize(value);
}

void PrintTable(const json::value& list,
                std::span<const std::string_view> columns) {
  std::vector<std::vector<std::string>> rows;
  rows.emplace_back(columns.begin(), columns.end());
  for (const json::value& element : list.as_array()) {
    std::vector<std::string> row;
    for (const std::string_view column : columns) {
      const json::value* cell = element.as_object().if_contains(column);
      row.push_back(cell == nullptr ? std::string() : PlainText(*cell));
    }
    rows.push_back(std::move(row));
  }
  std::vector<std::size_t> widths(columns.size());
  for (const auto& row : rows) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  for (const auto& row : rows) {
    for (std::size_t i = 0; i + 1 < row.size(); ++i) {
      std::cout << std::left << std::setw(static_cast<int>(widths[i] + 2))
                << row[i];
    }
    std::cout << row.back() << '\n';
  }
}

void PrintMembers(const json::value& object) {
  for (const auto& member : object.as_object()) {
    if (member.value().is_array()) continue;
    std::cout << member.key() << ": " << PlainText(member.value()) << '\n';
  }
}

void PrintJson(const json::value& value) {
  std::cout << json::serialize(value) << '\n';
}

}  // namespace hornbeamspool::ctl
