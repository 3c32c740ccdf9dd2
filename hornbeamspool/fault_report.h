// Reports exceptions that ended a request or a handler of one thread.
#pragma once

#include <string>

#include "http/background_task.h"

namespace hornbeamspool {

class EventSink;
class Metrics;

// Counts each exception and records an event that names `duty`. `metrics` and
// `sink` must outlive the handler.
http::ExceptionHandler MakeFaultReporter(std::string duty, Metrics& metrics,
                                         EventSink& sink);

}  // namespace hornbeamspool
