#include "hornbeamspool/answer_checker.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace hornbeamspool {
namespace {

namespace json = boost::json;

// Size of the stack buffer for parsing. A typical stream event fits into it, so
// that parsing does not allocate.
constexpr std::size_t kParseBufferBytes = 4096;

std::int64_t IntegerOrZero(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64()) return 0;
  return value->get_int64();
}

}  // namespace

AnswerSummary InspectAnswer(std::string_view document,
                            std::string_view request_id) {
  std::array<unsigned char, kParseBufferBytes> storage;
  json::monotonic_resource resource(storage.data(), storage.size());
  json::error_code error;
  const json::value value = json::parse(document, error, &resource);
  AnswerSummary summary;
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) return summary;
  summary.valid = true;
  summary.is_error = object->contains("error");
  const json::value* id = object->if_contains("id");
  if (id != nullptr && id->is_string()) {
    const std::string_view text = id->get_string();
    summary.id_matches = text.ends_with(request_id);
  }
  const json::value* choices = object->if_contains("choices");
  summary.has_choices = choices != nullptr && choices->is_array() &&
                        !choices->get_array().empty();
  const json::value* usage = object->if_contains("usage");
  if (usage != nullptr && usage->is_object()) {
    const json::object& counts = usage->get_object();
    summary.usage = Usage{IntegerOrZero(counts, "prompt_tokens"),
                          IntegerOrZero(counts, "completion_tokens")};
  }
  return summary;
}

}  // namespace hornbeamspool
