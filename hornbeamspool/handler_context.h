// What the handlers of callers' requests share on the listener's thread.
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
  std::string request_prefix;  // of request ids; unique to this process
  std::uint64_t next_request = 1;
};

// The parts of an admission request that every kind of work has.
policy::AdmissionRequest MakeAdmissionRequest(HandlerContext& context,
                                              const http::Request& request);

}  // namespace hornbeamspool
