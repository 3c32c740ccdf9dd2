#include "hornbeamspool/answer_checker.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

namespace hornbeamspool {
namespace {

namespace json = boost::json;

// Holds a usual event of a stream without a call of the allocator.
constexpr std::size_t kParseBytes = 4096;

std::int64_t NumberOf(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr || !value->is_int64()) return 0;
  return value->get_int64();
}

}  // namespace

AnswerFacts InspectAnswer(std::string_view document,
                          std::string_view request_id) {
  std::array<unsigned char, kParseBytes> storage;
  json::monotonic_resource resource(storage.data(), storage.size());
  json::error_code error;
  const json::value value = json::parse(document, error, &resource);
  AnswerFacts facts;
  const json::object* object = error ? nullptr : value.if_object();
  if (object == nullptr) return facts;
  facts.readable = true;
  facts.failed = object->contains("error");
  const json::value* id = object->if_contains("id");
  if (id != nullptr && id->is_string()) {
    const std::string_view text = id->get_string();
    facts.matches = text.ends_with(request_id);
  }
  const json::value* choices = object->if_contains("choices");
  facts.has_choices = choices != nullptr && choices->is_array() &&
                      !choices->get_array().empty();
  const json::value* usage = object->if_contains("usage");
  if (usage != nullptr && usage->is_object()) {
    const json::object& counts = usage->get_object();
    facts.usage = Usage{NumberOf(counts, "prompt_tokens"),
                        NumberOf(counts, "completion_tokens")};
  }
  return facts;
}

}  // namespace hornbeamspool
