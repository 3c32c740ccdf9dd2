// What an upstream's answer proves about the request that it arrives for.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace hornbeamspool::policy {

// The head of an answer, and the connection that it arrived on.
struct AnswerFacts {
  std::string request_id;        // that the answer names; may be empty
  bool not_executed = false;     // says that the request was not executed
  bool misdirected = false;      // and that another instance has the address
  bool success = false;          // has a status below 300
  bool status_promises = false;  // callers read "not executed" from its status
  bool has_server_stamp = false;
  std::int64_t earlier_requests = 0;  // on the connection
};

enum class AnswerVerdict : std::uint8_t {
  kAnswered,     // the answer to the request
  kRejected,     // the request was not executed
  kMisdirected,  // nor here: another instance has the address
  kFailed,       // executed, but with a status that would say it was not
  kStale,        // the answer to an earlier request: the next one may be ours
  kUnusable,     // the request may have been executed
  kCount
};

struct AnswerJudgement {
  AnswerVerdict verdict = AnswerVerdict::kUnusable;
  // Whether the connection may serve other requests once the answer is read. A
  // second copy of an answer must not meet a request that it could belong to.
  bool keep_connection = false;
};

// Some upstreams reject a request before they have read its id, so a rejection
// may name none.
inline bool IsUnnamedRejection(const AnswerFacts& answer) {
  return answer.not_executed && answer.request_id.empty();
}

// Judges an answer that arrived for the request with this id. `may_repeat` is
// false for a request that must be executed at most once: it counts as not
// executed only on proof.
inline AnswerJudgement JudgeAnswer(const AnswerFacts& answer,
                                   std::string_view request_id,
                                   bool may_repeat) {
  const bool kept = answer.earlier_requests > 0;
  const bool unnamed = answer.request_id.empty();
  if (!unnamed && answer.request_id != request_id) {
    return {kept ? AnswerVerdict::kStale : AnswerVerdict::kUnusable, false};
  }
  if (unnamed && !answer.not_executed) return {};
  // On a kept connection an unnamed rejection may be a copy of an earlier one.
  if (unnamed && kept) {
    return {may_repeat ? AnswerVerdict::kRejected : AnswerVerdict::kUnusable,
            false};
  }
  if (answer.not_executed && answer.success) return {};
  // The request may be sent to the address's other instance next.
  if (answer.misdirected) return {AnswerVerdict::kMisdirected, false};
  if (answer.not_executed) return {AnswerVerdict::kRejected, !unnamed};
  if (answer.success && !answer.has_server_stamp) return {};
  if (answer.status_promises && !may_repeat) {
    return {AnswerVerdict::kFailed, true};
  }
  return {AnswerVerdict::kAnswered, true};
}

}  // namespace hornbeamspool::policy
