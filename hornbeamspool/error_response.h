// HTTP responses for the error kinds of the policy.
#pragma once

#include "http/message.h"
#include "http/server.h"
#include "policy/error_kind.h"
#include "policy/messages.h"

namespace hornbeamspool {

// The body is {"error": {"code", "type", "message", "param", "run"}}, with
// "earlier_tries" and "retry_after_s" where they apply.
http::Response ErrorResponse(const policy::Refused& refused);
http::Response ErrorResponse(policy::ErrorKind kind, std::string detail = {});

// The JSON body only, to send as an event of a stream that has begun.
std::string ErrorBody(const policy::Refused& refused);

// The response to a request that the HTTP server rejected before it reached a
// handler, or whose handler failed.
http::Response RejectResponse(http::RejectReason reject);

}  // namespace hornbeamspool
