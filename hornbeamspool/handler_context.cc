#include "hornbeamspool/handler_context.h"

#include "coordination/rendezvous.h"
#include "transport/mac.h"

namespace hornbeamspool {
namespace {

constexpr std::string_view kBearer = "Bearer ";

}  // namespace

policy::AdmissionRequest MakeAdmissionRequest(HandlerContext& context,
                                              const http::Request& request) {
  policy::AdmissionRequest admission;
  admission.method = request.method;
  admission.request_id =
      context.request_prefix + std::to_string(context.next_request++);
  const std::string_view authorization = request.HeaderValue("Authorization");
  if (authorization.starts_with(kBearer)) {
    admission.key_digest =
        transport::Sha256Hex(authorization.substr(kBearer.size()));
  }
  admission.request_key = std::string(request.HeaderValue("Idempotency-Key"));
  admission.work_class = std::string(request.HeaderValue("X-Work-Class"));
  admission.fingerprint = coordination::StableHash(
      request.body,
      coordination::StableHash(request.target,
                               coordination::StableHash(request.method)));
  context.metrics->Add(Counter::kRequests);
  return admission;
}

}  // namespace hornbeamspool
