// Asynchronous recording of events to the log and to an in-memory timeline.
#pragma once

#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "coordination/hybrid_clock.h"
#include "hornbeamspool/metrics.h"
#include "hornbeamspool/spsc_queue.h"
#include "hornbeamspool/wakeup.h"
#include "policy/event.h"

namespace hornbeamspool {

struct RecordedEvent {
  coordination::HybridTime at;  // hybrid logical time
  policy::Event event;
};

// The event queue of one producer thread. A full queue drops the event and
// counts the drop, so that recording never delays a request.
class EventSink {
 public:
  EventSink(std::size_t capacity, class Recorder& recorder);
  // Timestamps `event` and queues it.
  void Record(policy::Event event);

 private:
  friend class Recorder;
  Recorder* recorder;
  SpscQueue<RecordedEvent> queue;
};

// Selects events of the timeline. Empty fields match every event.
struct TimelineFilter {
  std::string request;
  std::string budget;
  std::string move;  // id of a rollout
};

// Owns a thread that drains the sinks of all other threads, writes the events
// to the log and keeps the latest ones for the operators.
class Recorder {
 public:
  // `log_level`: see StartConsoleLog.
  Recorder(std::string node, std::string_view log_level, Metrics& metrics);
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;
  ~Recorder();

  // Adds a sink for one producer thread. Call before Start.
  EventSink& AddSink();
  void Start();
  // Writes the queued events and ends the thread.
  void Stop();

  // The matching events among those kept, oldest first.
  std::vector<RecordedEvent> Timeline(const TimelineFilter& filter) const;

  // Advances the clock past a timestamp received from a peer.
  void ObserveRemote(coordination::HybridTime remote);
  // Returns a timestamp later than every one returned or observed before.
  coordination::HybridTime NextTimestamp();

 private:
  friend class EventSink;
  void Run();
  bool DrainOnce();
  void Write(RecordedEvent recorded);

  static constexpr std::size_t kSinkCapacity = 8192;
  static constexpr std::size_t kTimelineCapacity = 20'000;

  std::string node;
  Metrics* metrics;
  Wakeup wakeup;
  std::list<EventSink> sinks;
  mutable std::mutex clock_mutex;
  coordination::HybridClock clock;
  mutable std::mutex timeline_mutex;
  std::deque<RecordedEvent> timeline;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

}  // namespace hornbeamspool
