// Checks that an upstream's answer belongs to the request and extracts its
// usage.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace hornbeamspool {

struct Usage {
  std::int64_t prompt_tokens = 0;
  std::int64_t completion_tokens = 0;
};

// What one JSON document of an answer contains.
struct AnswerSummary {
  bool valid = false;        // it is a JSON object
  bool id_matches = false;   // its id ends with the request id
  bool is_error = false;     // it has an error member
  bool has_choices = false;  // it has a part of the answer
  std::optional<Usage> usage;
};

// Parses `document`: a complete answer, or the data of one server-sent event.
AnswerSummary InspectAnswer(std::string_view document,
                            std::string_view request_id);

}  // namespace hornbeamspool
