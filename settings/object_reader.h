// Reads the members of a JSON object, and records every error with the JSON
// pointer of the member. A key that was never read is an error.
#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "settings/validation_error.h"

namespace hornbeamspool::settings {

// A closed interval.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = INT64_MAX;
};

// A method that finds a member invalid, or a required one missing, records an
// error and returns a value for the caller to go on with. Methods named `...Or`
// return `fallback` for a missing member.
class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string pointer,
               ValidationErrors& errors);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;
  // Records an error for each key that was never read.
  ~ObjectReader();

  bool Has(std::string_view key) { return this->Find(key, false) != nullptr; }
  // A string that is not empty.
  std::string Text(std::string_view key);
  std::string TextOr(std::string_view key, std::string_view fallback);
  // An IP address and a port, separated by a colon.
  std::string Address(std::string_view key);
  std::int64_t Integer(std::string_view key, IntegerRange range);
  std::int64_t IntegerOr(std::string_view key, IntegerRange range,
                         std::int64_t fallback);
  // A number in [min, max], which may be a fraction.
  double NumberOr(std::string_view key, double min, double max,
                  double fallback);
  bool BooleanOr(std::string_view key, bool fallback);
  // A list of strings; neither the list nor a string may be empty.
  std::vector<std::string> TextList(std::string_view key);
  // Index of the member's value in `choices`.
  std::size_t ChoiceOr(std::string_view key,
                       std::span<const std::string_view> choices,
                       std::size_t fallback);

  // Calls `read` for each element of an array of objects. A missing array is
  // an error when `required`.
  void ForEach(std::string_view key, bool required,
               const std::function<void(ObjectReader&)>& read);
  // Calls `read` for a member that is an object. A missing member is read as an
  // empty object.
  void ReadObject(std::string_view key,
                  const std::function<void(ObjectReader&)>& read);

  // Records an error of the member `key`.
  void AddError(std::string_view key, std::string message);
  // The object's JSON pointer in the document.
  const std::string& Pointer() const { return this->pointer; }

 private:
  // Null when the member is missing.
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object* object = nullptr;
  std::string pointer;
  ValidationErrors* errors;
  std::set<std::string, std::less<>> read_keys;
};

}  // namespace hornbeamspool::settings
