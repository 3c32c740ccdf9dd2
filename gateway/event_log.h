// The gateway's log: one line of key=value pairs for each event, on standard
// output. The lines of each kind are bounded, so that a burst of failures
// costs a bounded part of the processor; a line counts what was left out.
#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool::gateway {

enum class LogKind : std::uint8_t {
  kStarted,
  kReloaded,
  kStopping,
  kStopped,
  kConfig,      // a configuration is in force, or can't be read
  kUpstream,    // an upstream came, changed or went
  kCrash,       // an upstream went down with a request in hand
  kDependency,  // the store was lost or regained
  kMove,        // an order to move to another version, or how far one is
  kBudget,      // limits were written, or could not be
  kRefused,     // a request was answered by the gateway itself
  kSendFailed,  // a send to an upstream failed
  kBroken,      // an answer broke off after it had begun
  kServed,
  kFault,  // an exception ended a coroutine
  kCount
};

class EventLog {
 public:
  EventLog(std::string vm, std::string_view level);
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  // Writes `pairs`, key=value pairs separated by blanks.
  void Write(LogKind kind, std::string_view pairs, coordination::TimePoint now);

 private:
  struct Budget {
    coordination::TimePoint second{};
    std::int64_t written = 0;
    std::int64_t left_out = 0;
  };

  void Emit(LogKind kind, std::string_view pairs);

  std::string vm;
  std::array<Budget, static_cast<std::size_t>(LogKind::kCount)> budgets;
};

}  // namespace hornbeamspool::gateway
