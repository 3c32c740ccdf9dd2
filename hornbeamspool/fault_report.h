// Reports exceptions that ended a request or a handler of one thread, and
// rejected clients.
#pragma once

#include <string>

#include "http/background_task.h"
#include "http/server.h"

namespace hornbeamspool {

class EventSink;
class Metrics;

// Counts each exception and records an event that names `duty`. `metrics` and
// `sink` must outlive the handler.
http::ExceptionHandler MakeFaultReporter(std::string duty, Metrics& metrics,
                                         EventSink& sink);

// Counts each rejected client and records an event, at most 20 a second.
http::RejectObserver MakeRejectReporter(Metrics& metrics, EventSink& sink);

}  // namespace hornbeamspool
