// Records events: the log, and the bounded time line of this process. A thread
// of its own writes; the other threads hand their events over by rings.
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
  coordination::HybridTime at;
  policy::Event event;
};

// Where one thread leaves its events. A full ring drops the event and counts
// it: recording never delays a request.
class EventSink {
 public:
  EventSink(std::size_t capacity, class Recorder& recorder);
  void Record(policy::Event event);

 private:
  friend class Recorder;
  Recorder* recorder;
  SpscQueue<RecordedEvent> ring;
};

// What a reader asks of the time line; empty fields match everything.
struct TimelineFilter {
  std::string request;
  std::string budget;
  std::string move;
};

class Recorder {
 public:
  Recorder(std::string node, std::string_view log_level, Metrics& metrics);
  Recorder(const Recorder&) = delete;
  Recorder& operator=(const Recorder&) = delete;
  ~Recorder();

  // A sink for one thread. Call before Start.
  EventSink& AddSink();
  void Start();
  // Writes what is left and ends the thread.
  void Stop();

  // The matching events, oldest first.
  std::vector<RecordedEvent> Timeline(const TimelineFilter& filter) const;

  // Notes a timestamp received from a peer.
  void ObserveRemote(coordination::HybridTime remote);
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
