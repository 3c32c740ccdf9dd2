#include "settings/object_reader.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace hornbeamspool::settings {
namespace {

const boost::json::value& EmptyObject() {
  static const boost::json::value empty = boost::json::object();
  return empty;
}

}  // namespace

ObjectReader::ObjectReader(const boost::json::value& value, std::string pointer,
                           SettingsErrorList& errors)
    : object(value.if_object()), pointer(std::move(pointer)), errors(&errors) {
  if (this->object == nullptr) {
    this->errors->push_back({this->pointer, "must be an object"});
    this->object = EmptyObject().if_object();
  }
}

ObjectReader::~ObjectReader() {
  for (const auto& member : *this->object) {
    const std::string_view key(member.key().data(), member.key().size());
    if (this->requested.contains(key)) continue;
    this->AddError(key, "unknown key");
  }
}

void ObjectReader::AddError(std::string_view key, std::string message) {
  std::string where = this->pointer + '/' + std::string(key);
  this->errors->push_back({std::move(where), std::move(message)});
}

const boost::json::value* ObjectReader::Find(std::string_view key,
                                             bool required) {
  this->requested.insert(std::string(key));
  const boost::json::value* value = this->object->if_contains(key);
  if (value == nullptr && required) this->AddError(key, "is missing");
  return value;
}

std::string ObjectReader::String(std::string_view key) {
  const boost::json::value* value = this->Find(key, true);
  if (value == nullptr) return {};
  const boost::json::string* text = value->if_string();
  if (text == nullptr || text->empty()) {
    this->AddError(key, "must be a text that is not empty");
    return {};
  }
  return std::string(text->data(), text->size());
}

std::string ObjectReader::StringOr(std::string_view key,
                                   std::string_view fallback) {
  if (this->Find(key, false) == nullptr) return std::string(fallback);
  return this->String(key);
}

std::string ObjectReader::Address(std::string_view key) {
  std::string address = this->String(key);
  const std::size_t colon = address.rfind(':');
  const bool plausible =
      colon != std::string::npos && colon > 0 &&
      address.find_first_not_of("0123456789", colon + 1) == std::string::npos &&
      colon + 1 < address.size() &&
      address.find_first_not_of("0123456789abcdefABCDEF.:[]") ==
          std::string::npos;
  if (!address.empty() && !plausible) {
    this->AddError(key, "must be an IP number, a colon and a port");
  }
  return address;
}

std::int64_t ObjectReader::Integer(std::string_view key, IntegerRange range) {
  const boost::json::value* value = this->Find(key, true);
  if (value == nullptr) return range.min;
  const std::int64_t* number = value->if_int64();
  const bool fits =
      number != nullptr && *number >= range.min && *number <= range.max;
  if (fits) return *number;
  std::string message = "must be a whole number of at least ";
  message += std::to_string(range.min);
  if (range.max != INT64_MAX) {
    message += " and at most " + std::to_string(range.max);
  }
  this->AddError(key, std::move(message));
  return range.min;
}

std::int64_t ObjectReader::IntegerOr(std::string_view key, IntegerRange range,
                                     std::int64_t fallback) {
  if (this->Find(key, false) == nullptr) return fallback;
  return this->Integer(key, range);
}

double ObjectReader::NumberOr(std::string_view key, double min, double max,
                              double fallback) {
  const boost::json::value* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  boost::system::error_code error;
  const auto number = value->to_number<double>(error);
  if (!error && number >= min && number <= max) return number;
  this->AddError(key, "must be a number between " + std::to_string(min) +
                          " and " + std::to_string(max));
  return fallback;
}

bool ObjectReader::BooleanOr(std::string_view key, bool fallback) {
  const boost::json::value* value = this->Find(key, false);
  if (value == nullptr) return fallback;
  if (const bool* flag = value->if_bool()) return *flag;
  this->AddError(key, "must be true or false");
  return fallback;
}

std::vector<std::string> ObjectReader::Strings(std::string_view key) {
  std::vector<std::string> texts;
  const boost::json::value* value = this->Find(key, true);
  if (value == nullptr) return texts;
  const boost::json::array* array = value->if_array();
  if (array == nullptr || array->empty()) {
    this->AddError(key, "must be a list of texts that is not empty");
    return texts;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    const boost::json::string* text = (*array)[i].if_string();
    if (text == nullptr || text->empty()) {
      this->AddError(std::string(key) + '/' + std::to_string(i),
                     "must be a text that is not empty");
      continue;
    }
    texts.emplace_back(text->data(), text->size());
  }
  return texts;
}

std::size_t ObjectReader::ChoiceOr(std::string_view key,
                                   std::span<const std::string_view> choices,
                                   std::size_t fallback) {
  if (this->Find(key, false) == nullptr) return fallback;
  const std::string text = this->String(key);
  if (text.empty()) return fallback;
  const auto found = std::find(choices.begin(), choices.end(), text);
  if (found != choices.end()) {
    return static_cast<std::size_t>(found - choices.begin());
  }
  std::string message = "must be one of";
  for (const std::string_view choice : choices) {
    message += ' ';
    message += choice;
  }
  this->AddError(key, std::move(message));
  return fallback;
}

void ObjectReader::ForEach(std::string_view key, bool required,
                           const std::function<void(ObjectReader&)>& read) {
  const boost::json::value* value = this->Find(key, required);
  if (value == nullptr) return;
  const boost::json::array* array = value->if_array();
  if (array == nullptr) {
    this->AddError(key, "must be a list");
    return;
  }
  for (std::size_t i = 0; i < array->size(); ++i) {
    std::string element_pointer = this->pointer + '/' + std::string(key);
    element_pointer += '/' + std::to_string(i);
    ObjectReader element((*array)[i], std::move(element_pointer),
                         *this->errors);
    read(element);
  }
}

void ObjectReader::Member(std::string_view key,
                          const std::function<void(ObjectReader&)>& read) {
  const boost::json::value* value = this->Find(key, false);
  ObjectReader member(value == nullptr ? EmptyObject() : *value,
                      this->pointer + '/' + std::string(key), *this->errors);
  read(member);
}

}  // namespace hornbeamspool::settings
