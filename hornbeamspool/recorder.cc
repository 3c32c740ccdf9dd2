#include "hornbeamspool/recorder.h"

#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <utility>

#include "hornbeamspool/clock.h"
#include "hornbeamspool/console_log.h"

namespace hornbeamspool {
namespace {

constexpr coordination::Duration kMaxWait = std::chrono::milliseconds(200);

// Events logged at level warn.
bool IsWarning(policy::EventKind kind) {
  return kind == policy::EventKind::kDrawFailed ||
         kind == policy::EventKind::kSettleFailed ||
         kind == policy::EventKind::kConfigRefused ||
         kind == policy::EventKind::kClient ||
         kind == policy::EventKind::kFault;
}

// Events of single requests, logged at level debug.
bool IsRequestDetail(policy::EventKind kind) {
  return kind == policy::EventKind::kAdmitted ||
         kind == policy::EventKind::kIntentCommitted ||
         kind == policy::EventKind::kBilled;
}

std::string LogLine(std::string_view node, const RecordedEvent& recorded) {
  const policy::Event& event = recorded.event;
  std::string line = policy::KeyValue("event", EventKindName(event.kind));
  line += ' ' + policy::KeyValue("node", node);
  line += ' ' + policy::KeyValue("at_us", recorded.at.wall_us);
  if (!event.request.empty()) {
    line += ' ' + policy::KeyValue("request", event.request);
  }
  if (!event.budget.empty()) {
    line += ' ' + policy::KeyValue("budget", event.budget);
  }
  if (!event.move.empty()) line += ' ' + policy::KeyValue("move", event.move);
  if (!event.detail.empty()) line += ' ' + event.detail;
  return line;
}

bool Matches(std::string_view filter, std::string_view value) {
  return filter.empty() || filter == value;
}

}  // namespace

EventSink::EventSink(std::size_t capacity, Recorder& recorder)
    : recorder(&recorder),
      queue(capacity, [&recorder] { recorder.wakeup.Notify(); }) {}

void EventSink::Record(policy::Event event) {
  const coordination::HybridTime at = this->recorder->NextTimestamp();
  if (this->queue.TryPush(RecordedEvent{at, std::move(event)})) return;
  this->recorder->metrics->Add(Counter::kEventsDropped);
}

Recorder::Recorder(std::string node, std::string_view log_level,
                   Metrics& metrics)
    : node(std::move(node)), metrics(&metrics) {
  // Logs go to standard error; standard output is reserved for results.
  StartConsoleLog(log_level, LogStream::kError);
}

Recorder::~Recorder() { this->Stop(); }

EventSink& Recorder::AddSink() {
  return this->sinks.emplace_back(kSinkCapacity, *this);
}

void Recorder::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void Recorder::Stop() {
  if (!this->thread.joinable()) return;
  this->stopping = true;
  this->wakeup.Notify();
  this->thread.join();
}

void Recorder::Run() {
  while (!this->stopping) {
    this->wakeup.WaitFor(kMaxWait);
    this->DrainOnce();
  }
  while (this->DrainOnce()) continue;
}

bool Recorder::DrainOnce() {
  std::size_t count = 0;
  for (EventSink& sink : this->sinks) {
    count += sink.queue.Drain(
        [this](RecordedEvent recorded) { this->Write(std::move(recorded)); });
  }
  return count > 0;
}

void Recorder::Write(RecordedEvent recorded) {
  const policy::EventKind kind = recorded.event.kind;
  const log4cplus::Logger logger = log4cplus::Logger::getRoot();
  const std::string line = LogLine(this->node, recorded);
  if (IsWarning(kind)) {
    LOG4CPLUS_WARN(logger, line);
  } else if (IsRequestDetail(kind)) {
    LOG4CPLUS_DEBUG(logger, line);
  } else {
    LOG4CPLUS_INFO(logger, line);
  }
  const std::lock_guard<std::mutex> lock(this->timeline_mutex);
  this->timeline.push_back(std::move(recorded));
  if (this->timeline.size() > kTimelineCapacity) this->timeline.pop_front();
}

std::vector<RecordedEvent> Recorder::Timeline(
    const TimelineFilter& filter) const {
  std::vector<RecordedEvent> matching;
  const std::lock_guard<std::mutex> lock(this->timeline_mutex);
  for (const RecordedEvent& recorded : this->timeline) {
    if (!Matches(filter.request, recorded.event.request)) continue;
    if (!Matches(filter.budget, recorded.event.budget)) continue;
    if (!Matches(filter.move, recorded.event.move)) continue;
    matching.push_back(recorded);
  }
  return matching;
}

void Recorder::ObserveRemote(coordination::HybridTime remote) {
  const std::lock_guard<std::mutex> lock(this->clock_mutex);
  this->clock.Observe(remote, WallNow());
}

coordination::HybridTime Recorder::NextTimestamp() {
  const std::lock_guard<std::mutex> lock(this->clock_mutex);
  return this->clock.Tick(WallNow());
}

}  // namespace hornbeamspool
