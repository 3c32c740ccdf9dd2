// Relays server-sent events from an upstream to a caller as they arrive, whole
// events only. Buffers one read at a time, so that a slow caller applies
// backpressure to the upstream.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <utility>

#include "coordination/time.h"
#include "http/client.h"
#include "http/event_stream.h"
#include "http/exchange.h"
#include "http/task.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

class StreamRelay {
 public:
  // Relays `stream`, the answer to the send `plan`. Calls `on_news` when the
  // answer cleared parts of the prompt, which the other VMs should be told. All
  // arguments must outlive the relay.
  StreamRelay(policy::GatewayCore& core, policy::AdmittedRequest& admitted,
              policy::SendPlan& plan, http::Exchange& exchange,
              http::ResponseStream& stream, std::function<void()> on_news)
      : core(&core),
        admitted(&admitted),
        plan(&plan),
        exchange(&exchange),
        stream(&stream),
        on_news(std::move(on_news)) {}

  // Returns kAnswered when the stream was relayed to its end, kAbandoned when
  // the caller disconnected, kBroken when the upstream's answer was cut off or
  // is not a valid event stream, and kSilent when the upstream timed out.
  http::Task<policy::SendOutcome> Run();

 private:
  // Engines send events of less than 1 KB. The limit ends a stream that is not
  // made of events before many such streams exhaust the VM's memory.
  static constexpr std::size_t kMaxEventBytes = 256 * 1024;

  void QueueEvent(std::string_view raw);
  void RecordEventTime(coordination::TimePoint now);
  http::Task<bool> Flush();

  policy::GatewayCore* core;
  policy::AdmittedRequest* admitted;
  policy::SendPlan* plan;
  http::Exchange* exchange;
  http::ResponseStream* stream;
  std::function<void()> on_news;
  http::EventStreamParser reader{kMaxEventBytes};
  std::string pending;  // whole events that have not been sent to the caller
  std::int64_t pending_events = 0;
};

}  // namespace hornbeamspool::gateway
