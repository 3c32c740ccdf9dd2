// Reads the members of one JSON object and records each error with its JSON
// pointer. Keys that are never read are errors.
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

#include "settings/settings_error.h"

namespace hornbeamspool::settings {

// A closed interval.
struct IntegerRange {
  std::int64_t min = 0;
  std::int64_t max = INT64_MAX;
};

class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string pointer,
               SettingsErrorList& errors);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;
  // Records an error for each key that was never read.
  ~ObjectReader();

  bool Has(std::string_view key) { return this->Find(key, false) != nullptr; }

  // These methods read a member, and record an error if it is invalid. Methods
  // without a fallback also record an error if it is missing.
  std::string String(std::string_view key);
  std::string StringOr(std::string_view key, std::string_view fallback);
  // Reads an IP address, a colon and a port.
  std::string Address(std::string_view key);
  std::int64_t Integer(std::string_view key, IntegerRange range);
  std::int64_t IntegerOr(std::string_view key, IntegerRange range,
                         std::int64_t fallback);
  // Reads an integer or a fraction between `min` and `max`, both included.
  double NumberOr(std::string_view key, double min, double max,
                  double fallback);
  bool BooleanOr(std::string_view key, bool fallback);
  // Reads an array of strings. Neither it nor its strings may be empty.
  std::vector<std::string> Strings(std::string_view key);
  // Returns the index of the member's value in `choices`.
  std::size_t ChoiceOr(std::string_view key,
                       std::span<const std::string_view> choices,
                       std::size_t fallback);

  // Calls `read` for each element of an array of objects. A missing array is an
  // error if `required`.
  void ForEach(std::string_view key, bool required,
               const std::function<void(ObjectReader&)>& read);
  // Calls `read` for an object member; a missing one is read as an empty
  // object.
  void Member(std::string_view key,
              const std::function<void(ObjectReader&)>& read);

  // Records an error of the member `key`.
  void AddError(std::string_view key, std::string message);
  // The JSON pointer of the object.
  const std::string& Pointer() const { return this->pointer; }

 private:
  // Returns null if the member is missing, which is an error if `required`.
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object* object = nullptr;
  std::string pointer;
  SettingsErrorList* errors;
  std::set<std::string, std::less<>> requested;  // keys
};

}  // namespace hornbeamspool::settings
