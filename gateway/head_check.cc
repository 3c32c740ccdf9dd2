#include "gateway/head_check.h"

#include <algorithm>
#include <string>

#include "gateway/event_log.h"
#include "platform/request_headers.h"
#include "policy/event.h"
#include "policy/overload/overload_input.h"

namespace hornbeamspool::gateway {
namespace {

using policy::KeyValue;

// Reading a smaller body costs the link less than the connection that the
// caller has to open anew.
constexpr std::uint64_t kMinBodyBytes = 4096;

// Longer bodies are refused by the limit on their size.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{1} << 40U;

// Approximate size of a request's head and its packet headers.
constexpr std::int64_t kHeaderOverheadBytes = 700;

}  // namespace

std::optional<policy::Refusal> RefuseByHead(const Context& context,
                                            const http::Request& head,
                                            std::uint64_t body_bytes,
                                            coordination::TimePoint now) {
  policy::GatewayCore& core = *context.core;
  const bool is_checked = core.Overload().Enabled() && core.Table() != nullptr;
  if (!is_checked || body_bytes < kMinBodyBytes) return std::nullopt;
  std::string fault;
  std::optional<policy::GatewayRequest> request =
      platform::DecodeRequest(head, fault);
  if (!request) return std::nullopt;
  request->body_bytes =
      static_cast<std::int64_t>(std::min(body_bytes, kMaxBodyBytes));
  std::optional<policy::HeadRefusal> refusal =
      policy::CheckHead(*core.Table(), core.Overload(), *request,
                        core.Link().QueueDelay(now), now);
  if (!refusal) return std::nullopt;
  core.Link().AddReceived(kHeaderOverheadBytes, now);
  const policy::ErrorAnswer& answer = policy::AnswerFor(refusal->kind);
  context.log->Write(LogKind::kRefused,
                     KeyValue("request", request->id) + ' ' +
                         KeyValue("reason", answer.name) + ' ' +
                         KeyValue("status", std::int64_t{answer.status}) + ' ' +
                         KeyValue("stage", "head") + ' ' + refusal->fields,
                     now);
  return policy::Refusal{refusal->kind, refusal->retry_after};
}

}  // namespace hornbeamspool::gateway
