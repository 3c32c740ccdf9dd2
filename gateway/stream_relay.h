// Relays an event stream from an upstream to a caller, whole events only, as
// they arrive. Holds one piece of the stream: a slow caller stops the reading.
#pragma once

#include <string>
#include <string_view>

#include "coordination/time.h"
#include "http/client.h"
#include "http/event_stream.h"
#include "http/exchange.h"
#include "http/task.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

class StreamRelay {
 public:
  // `plan` is the send that `stream` answers.
  StreamRelay(policy::GatewayCore& core, policy::AdmittedRequest& admitted,
              policy::SendPlan& plan, http::Exchange& exchange,
              http::ResponseStream& stream)
      : core(&core),
        admitted(&admitted),
        plan(&plan),
        exchange(&exchange),
        stream(&stream) {}

  // kAnswered: the stream was relayed to its end. kAbandoned: the caller is
  // gone. Otherwise the upstream broke off or fell silent.
  http::Task<policy::SendOutcome> Run();

 private:
  // Engines send events of under 1 KB. Bytes that are no event end the stream
  // here, before many streams of them fill the VM.
  static constexpr std::size_t kMostEventBytes = 256 * 1024;

  void TakeEvent(std::string_view raw);
  void NoteTime(coordination::TimePoint now);
  http::Task<bool> Show();

  policy::GatewayCore* core;
  policy::AdmittedRequest* admitted;
  policy::SendPlan* plan;
  http::Exchange* exchange;
  http::ResponseStream* stream;
  http::EventReader events{kMostEventBytes};
  std::string due;  // whole events that the caller has not been sent
  std::int64_t due_events = 0;
};

}  // namespace hornbeamspool::gateway
