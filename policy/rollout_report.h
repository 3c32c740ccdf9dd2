// What one VM has observed of a rollout, as the driver reads it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "policy/time_histogram.h"

namespace hornbeamspool::policy {

enum class RolloutPhase : std::uint8_t {
  kCanary,      // the new version gets a small fraction of the requests
  kSwitched,    // it gets all new requests; the old one finishes its own
  kCompleted,   // the old version may be stopped
  kRolledBack,  // the new version gets no requests
  kCount
};

// The outcomes of requests that were sent to one version.
struct VersionStats {
  std::int64_t answers = 0;   // ended sends that an upstream may have run
  std::int64_t failures = 0;  // of `answers`
  // Of complete answers that are no failures: response times, and the same
  // divided by what the answers hold. The length of streams varies more than
  // the time that a version takes for each event.
  TimeHistogram times;
  TimeHistogram paces;
  // The time so far of sends that callers gave up or that are in flight: lower
  // bounds of their response times.
  TimeHistogram unfinished;

  void Add(const VersionStats& other) {
    this->answers += other.answers;
    this->failures += other.failures;
    this->times.Add(other.times);
    this->paces.Add(other.paces);
    this->unfinished.Add(other.unfinished);
  }
};

struct RouteStats {
  VersionStats new_version;
  VersionStats old_version;  // all versions but the new one

  void Add(const RouteStats& other) {
    this->new_version.Add(other.new_version);
    this->old_version.Add(other.old_version);
  }
};

// The step of requests that were sent after the switch. Those before it are in
// steps 0 to kSwitchedStep - 1, which divide the time limit evenly.
inline constexpr std::int32_t kSwitchedStep = 5;

// Includes what earlier processes of the VM observed.
struct RolloutReport {
  std::uint64_t order_revision = 0;
  std::uint64_t incarnation = 0;               // of the process that wrote it
  RolloutPhase phase = RolloutPhase::kCanary;  // that the VM follows
  std::int64_t reported_ms = 0;                // by the store's clock
  std::int64_t old_in_flight = 0;              // requests at the old version
  std::int64_t sends = 0;  // since the order, also unreachable ones
  // Of `sends`: an upstream has answered, or probably will.
  std::int64_t arrived_sends = 0;
  std::int64_t new_version_sends = 0;  // of `sends`
  // By route and step. Both versions are compared within a VM, a route and a
  // step, so that a disruption that affects both counts against neither.
  std::map<std::string, std::map<std::int32_t, RouteStats>> routes;
};

}  // namespace hornbeamspool::policy
