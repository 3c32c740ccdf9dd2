// Counters and histograms of the process. Any thread may write.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "coordination/time.h"

namespace hornbeamspool {

enum class Counter : std::uint8_t {
  kRequests,
  kRefusals,
  kTokensForwarded,
  kTokensBilled,
  kBills,
  kDuplicateBills,
  kRetries,
  kTableCalls,
  kTableFailures,
  kHeartbeatsSent,
  kHeartbeatBytesSent,
  kHeartbeatsReceived,
  kHeartbeatsDropped,
  kEventsDropped,
  kServed,
  kSendsFailed,
  kAnswersBroken,
  kBudgetRefusals,
  kStoreCalls,
  kStoreFailures,
  kTokensGiven,
  kTokensReceived,
  kTokensStranded,   // of predecessors, taken as spent without proof
  kCrashesSeen,      // upstreams that went down with requests in hand
  kCrashesTold,      // the same, as peers told
  kSuspectRefusals,  // requests refused for what they took down
  kCount
};

enum class Timing : std::uint8_t {
  kFirstToken,
  kTokenGap,
  kWholeAnswer,
  kAdmission,
  kTableCall,
  kCount
};

class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  void Add(Counter counter, std::int64_t amount = 1);
  void Observe(Timing timing, coordination::Duration duration);

  // Prometheus text exposition format.
  std::string Text() const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage;
};

}  // namespace hornbeamspool
