// Checks that an upstream's answer belongs to the request and reads its usage.
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

// What one JSON document of an answer says.
struct AnswerSummary {
  bool valid = false;
  bool id_matches = false;   // its id is that of the request
  bool is_error = false;     // it is an error
  bool has_choices = false;  // it carries a part of the answer
  std::optional<Usage> usage;
};

// `document` is a whole answer, or the data of one event of a stream.
AnswerSummary InspectAnswer(std::string_view document,
                            std::string_view request_id);

}  // namespace hornbeamspool
