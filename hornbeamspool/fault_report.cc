#include "hornbeamspool/fault_report.h"

#include <utility>

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

}  // namespace hornbeamspool
