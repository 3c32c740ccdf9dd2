// Reads the members of one JSON object, noting every fault with its JSON
// pointer. Keys that nobody asked for are errors.
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

// Bounds of an integer, both included.
struct IntegerRange {
  std::int64_t least = 0;
  std::int64_t most = INT64_MAX;
};

class ObjectReader {
 public:
  ObjectReader(const boost::json::value& value, std::string pointer,
               ValidationErrors& errors);
  ObjectReader(const ObjectReader&) = delete;
  ObjectReader& operator=(const ObjectReader&) = delete;
  // Notes unknown keys.
  ~ObjectReader();

  bool Has(std::string_view key) { return this->Find(key, false) != nullptr; }
  std::string Text(std::string_view key);
  std::string TextOr(std::string_view key, std::string_view fallback);
  // An IP number, a colon and a port.
  std::string Address(std::string_view key);
  std::int64_t Integer(std::string_view key, IntegerRange range);
  std::int64_t IntegerOr(std::string_view key, IntegerRange range,
                         std::int64_t fallback);
  // A number, whole or not, between `least` and `most`, both included.
  double NumberOr(std::string_view key, double least, double most,
                  double fallback);
  bool BooleanOr(std::string_view key, bool fallback);
  std::vector<std::string> Texts(std::string_view key);
  // Index of the text among `choices`.
  std::size_t ChoiceOr(std::string_view key,
                       std::span<const std::string_view> choices,
                       std::size_t fallback);

  // Calls `read` for each element of an array of objects. A missing array is
  // a fault when `required`.
  void Each(std::string_view key, bool required,
            const std::function<void(ObjectReader&)>& read);
  // Calls `read` for an object member; a missing one reads as empty.
  void Member(std::string_view key,
              const std::function<void(ObjectReader&)>& read);

  void AddError(std::string_view key, std::string message);
  const std::string& Pointer() const { return this->pointer; }

 private:
  const boost::json::value* Find(std::string_view key, bool required);

  const boost::json::object* object = nullptr;
  std::string pointer;
  ValidationErrors* errors;
  std::set<std::string, std::less<>> asked;
};

}  // namespace hornbeamspool::settings
