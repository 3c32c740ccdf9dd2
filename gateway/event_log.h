// The gateway's log: one line of key=value fields for each event, on standard
// output. Lines are rate-limited for each kind of event, so that a burst of
// failures costs a bounded part of the processor. A line with the key left_out
// reports how many were dropped.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::gateway {

// The kinds of events. Each has its own name in the log, level and rate limit.
enum class LogKind : std::uint8_t {
  kStarted,
  kReloaded,
  kStopping,
  kStopped,
  kConfig,      // a configuration is in force or unreadable
  kUpstream,    // an upstream was added, changed or removed
  kCrash,       // an upstream crashed with a request in flight
  kPart,        // a crash, an answer, a trial or a refusal of a prompt part
  kPoisonPart,  // a prompt part was named as crashing upstreams, or cleared
  kRateLimit,   // an upstream's rate limit was announced, changed or ended
  kDependency,  // the store was lost or regained, or the VM's load changed
  kRollout,     // a rollout was ordered, or entered another phase
  kBudget,      // limits were written, or the write failed
  kRefused,     // the gateway answered a request with an error of its own
  kSendFailed,  // a send to an upstream failed
  kBroken,      // an answer was cut off after it had begun
  kServed,
  kOverload,  // what overload control delayed and refused
  kClient,    // a client was rejected before its request reached a handler
  kFault,     // an exception left a coroutine
  kCount
};

class EventLog {
 public:
  // `vm` is written in each line. Events below `level` are not written.
  EventLog(std::string vm, std::string_view level);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes a line with `fields`, key=value pairs separated by spaces, unless
  // the rate limit of `kind` is reached.
  void Write(LogKind kind, std::string_view fields,
             coordination::TimePoint now);

 private:
  struct RateLimit {
    coordination::TimePoint window_start{};
    std::int64_t written = 0;
    std::int64_t dropped = 0;
  };

  void Emit(LogKind kind, std::string_view fields);

  std::string vm;
  std::array<RateLimit, static_cast<std::size_t>(LogKind::kCount)> limits;
};

}  // namespace hornbeamspool::gateway
