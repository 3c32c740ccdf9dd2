// Counters and histograms of the process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/balancing/speed_stats.h"
#include "policy/overload/overload_counters.h"
#include "policy/rate_limits.h"

namespace hornbeamspool::http {
enum class RejectReason : std::uint8_t;
}

namespace hornbeamspool {

// Exported as hornbeamspool_NAME_total.
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
  kTokensStranded,     // of earlier processes, assumed spent without proof
  kCrashesSeen,        // upstreams that crashed with requests in flight
  kCrashesTold,        // such crashes reported by peers
  kPermitsGranted,     // to other VMs, for rate-limited upstreams
  kPermitsRefused,     // to other VMs
  kPermitTimeouts,     // requests for a permit that no VM answered
  kRateLimitRefusals,  // requests refused because of upstreams' rate limits
  kSuspectRefusals,    // requests refused as suspected of causing crashes
  kPartsNamed,         // prompt parts named as crashing upstreams
  kPartsCleared,       // named parts that were cleared or forgotten
  kPartRefusals,       // requests refused because of a named part
  kUpstreamsLeaving,   // instances that were heard to leave
  kPauses,             // pauses that upstreams asked a VM for
  kStaleAnswers,       // answers to earlier requests, skipped
  kSendsWithheld,      // sends that a pause or a leaving upstream stopped
  kBackoffRefusals,    // requests refused because of pauses
  kColdRedirects,      // requests that cold upstreams had no permit for
  kColdRefusals,       // requests refused because of cold upstreams' limits
  kSpeedReports,       // peers' reports of upstreams' speeds, received
  kSpeedNotices,       // of them, notices of known upstreams
  kSpeedReportsSent,   // to peers
  kFaults,             // exceptions that ended a request or a handler
  kCount
};

// Histograms of durations, exported in seconds.
enum class Timing : std::uint8_t {
  kFirstToken,
  kTokenGap,
  kWholeAnswer,
  kAdmission,
  kTableCall,
  kCount
};

// Thread-safe: any thread may write and read.
class Metrics {
 public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  void Add(Counter counter, std::int64_t amount = 1);
  // Counts a rejected client, exported as hornbeamspool_clients_REASON_total.
  void AddRejection(http::RejectReason reason);
  void Observe(Timing timing, coordination::Duration duration);

  // Sets the gauges of prompt parts that crashes count against, and that are
  // named.
  void SetPoisonParts(std::size_t suspected, std::size_t named);
  // Replaces the gauges of all limited upstreams.
  void SetRateLimits(std::vector<policy::RateLimits::Stats> limits);

  // Replaces the gauges of upstreams' estimated speeds.
  void SetUpstreamSpeeds(std::vector<policy::SpeedStats> speeds);

  // Replaces the counters of decisions on overload.
  void SetOverload(const policy::OverloadCounters& counters);

  // Prometheus text exposition format.
  std::string Text() const;

 private:
  struct Storage;
  std::unique_ptr<Storage> storage;
};

}  // namespace hornbeamspool
