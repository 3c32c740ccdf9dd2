#include "hornbeamspool/fault_report.h"

#include <chrono>
#include <cstdint>
#include <utility>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/recorder.h"
#include "policy/event.h"

namespace hornbeamspool {

http::ExceptionHandler MakeFaultReporter(std::string duty, Metrics& metrics,
                                         EventSink& sink) {
  return [duty = std::move(duty), &metrics, &sink](std::string_view message) {
    metrics.Add(Counter::kFaults);
    policy::Event event;
    event.kind = policy::EventKind::kFault;
    event.detail = policy::KeyValue("duty", duty) + ' ' +
                   policy::KeyValue("fault", message);
    sink.Record(std::move(event));
  };
}

http::RejectObserver MakeRejectReporter(Metrics& metrics, EventSink& sink) {
  constexpr std::int64_t kEventsPerSecond = 20;
  coordination::TimePoint window{};
  std::int64_t recorded = 0;
  return [&metrics, &sink, window, recorded](http::RejectReason reason,
                                             std::string_view peer) mutable {
    metrics.AddRejection(reason);
    const coordination::TimePoint now = Now();
    if (now - window >= std::chrono::seconds(1)) {
      window = now;
      recorded = 0;
    }
    if (++recorded > kEventsPerSecond) return;
    policy::Event event;
    event.kind = policy::EventKind::kClient;
    event.detail = policy::KeyValue("rejected", http::NameOf(reason)) + ' ' +
                   policy::KeyValue("peer", peer);
    sink.Record(std::move(event));
  };
}

}  // namespace hornbeamspool
