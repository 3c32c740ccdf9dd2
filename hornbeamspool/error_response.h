// Answers of the closed list of error kinds, as HTTP responses.
#pragma once

#include "http/message.h"
#include "http/server.h"
#include "policy/error_kind.h"
#include "policy/messages.h"

namespace hornbeamspool {

// {"error": {"code", "type", "message", "run", "retry_after_s"}}
http::Response ErrorResponse(const policy::Refused& refused);
http::Response ErrorResponse(policy::ErrorKind kind, std::string detail = {});

// The JSON body alone, for a stream that has response_started.
std::string ErrorBody(const policy::Refused& refused);

// The answer to a request that the HTTP server refused by itself.
http::Response RejectResponse(http::Reject reject);

}  // namespace hornbeamspool
