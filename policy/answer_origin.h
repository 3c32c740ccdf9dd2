// Which request an upstream's answer belongs to. On a connection that earlier
// requests used, the next answer may be a copy of one of theirs.
#pragma once

#include <cstdint>
#include <string_view>

namespace hornbeamspool::policy {

enum class AnswerOrigin : std::uint8_t {
  kOwn,      // the answer to the request
  kOther,    // names another request, or none
  kUnknown,  // a rejection that names none: to the request, or a copy
  kCount
};

struct AnswerIdentity {
  std::string_view request_id;       // that the answer names; may be empty
  bool rejection = false;            // says that the request was not executed
  bool first_on_connection = false;  // no earlier request used the connection
};

// Some upstreams reject a request before they have read its id, so a rejection
// may name none. Only on a new connection there is no other request that it can
// belong to.
constexpr AnswerOrigin OriginOf(const AnswerIdentity& answer,
                                std::string_view request_id) {
  if (!answer.request_id.empty()) {
    return answer.request_id == request_id ? AnswerOrigin::kOwn
                                           : AnswerOrigin::kOther;
  }
  if (!answer.rejection) return AnswerOrigin::kOther;
  return answer.first_on_connection ? AnswerOrigin::kOwn
                                    : AnswerOrigin::kUnknown;
}

}  // namespace hornbeamspool::policy
