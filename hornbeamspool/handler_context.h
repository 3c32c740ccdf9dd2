// State shared by the handlers of callers' requests, on the listener's thread.
#pragma once

#include <string>
#include <string_view>

#include "hornbeamspool/admission_client.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/recorder.h"
#include "http/client.h"
#include "http/message.h"
#include "policy/messages.h"

namespace hornbeamspool {

struct HandlerContext {
  AdmissionClient* admission_client = nullptr;
  http::Client* client = nullptr;
  Metrics* metrics = nullptr;
  EventSink* sink = nullptr;
  std::string request_prefix;  // of all request ids; unique to this process
  std::uint64_t next_request = 1;
};

// Fills in what every kind of request has: a new request id, the caller's key
// digest, the idempotency key, the work class and the fingerprint. Counts the
// request.
policy::AdmissionRequest MakeAdmissionRequest(HandlerContext& context,
                                              const http::Request& request);

}  // namespace hornbeamspool
