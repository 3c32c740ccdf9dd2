// Tracks each upstream's load, prefix cache and failures as one VM sees them,
// and selects the upstream for a request by the lowest estimated cost.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "coordination/time.h"
#include "policy/balancing/instance_speed.h"
#include "policy/balancing/load_estimate.h"
#include "policy/balancing/prefix_cache.h"
#include "policy/balancing/send_cost.h"
#include "policy/balancing/service_rates.h"
#include "policy/balancing/speed_message.h"
#include "policy/balancing/speed_stats.h"
#include "policy/balancing/upstream_forecast.h"
#include "policy/balancing/upstream_load.h"
#include "policy/gateway_request.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::policy {

// How a send ended.
enum class SendOutcome : std::uint8_t {
  kAnswered,       // complete answer, relayed to the caller
  kUpstreamError,  // complete server error, kept back
  kErrorRelayed,   // complete server error (5xx), relayed to the caller
  kRejected,       // the upstream reported that it did not run the request
  kMisdirected,    // not run: the address now belongs to another upstream
  kUnreachable,    // not sent: no connection
  kNotListening,   // not sent: connection refused
  kNoRoom,         // not sent: connection limit to the upstream reached
  kWithheld,       // not sent: the upstream leaves, or has asked for a pause
  kBroken,         // sent; the answer broke off or is for another request
  kSilent,         // sent; timed out
  kAbandoned,      // the caller disconnected
  kCount
};

// Whether the caller received an answer from the upstream.
constexpr bool IsAnswer(SendOutcome outcome) {
  return outcome == SendOutcome::kAnswered ||
         outcome == SendOutcome::kErrorRelayed;
}

// The accounting of one send, from OnSent to OnEnded.
struct SendRecord {
  std::string upstream;
  std::int64_t prefill_tokens = 0;  // counted until the answer starts
  std::int64_t kv_tokens = 0;       // in the engine's KV cache, at most
  std::int64_t own_tokens = 0;      // of prefill_tokens, in no engine's cache
  std::int64_t prefill_tokens_ahead = 0;  // queued there when it was sent
  std::uint64_t instance = 0;             // hash of the instance's id
  // Other waits were known ahead of it, so that its times say nothing about the
  // upstream's speed.
  bool waits_ahead = false;
  bool is_model_request = false;
  coordination::TimePoint sent_at{};
  coordination::TimePoint started_at{};
  bool started = false;  // OnStarted was called
};

// Inputs of the selection that depend on the request.
struct SelectionCriteria {
  const ModelDemand* demand = nullptr;    // null: not a model request
  std::int64_t kv_capacity_tokens = 0;    // of one engine; 0: not known
  coordination::Duration target_pause{};  // between a stream's events
  std::string_view request_id{};          // breaks ties between upstreams
  std::int64_t tokens_per_event = 1;      // of a stream, at most
};

class UpstreamSelector {
 public:
  explicit UpstreamSelector(std::string availability_zone);

  // Sets the number of VMs in the fleet, this one included.
  void SetFleetSize(std::int64_t vms) { this->fleet_size = vms; }

  // The upstream of the lowest cost among `upstreams` without the ids in
  // `excluded`; null when none is left. An ejected upstream is returned only
  // when no other is left. Of a long list, an even sample is considered.
  const UpstreamEntry* Select(std::span<const UpstreamEntry* const> upstreams,
                              const SelectionCriteria& criteria,
                              std::span<const std::string> excluded,
                              coordination::TimePoint now);
  // What the request may expect of the upstream if it is sent there now.
  UpstreamForecast Forecast(const UpstreamEntry& upstream,
                            const SelectionCriteria& criteria,
                            coordination::TimePoint now) const;

  // Counts a send; pass the record to OnStarted and OnEnded.
  SendRecord OnSent(const UpstreamEntry& upstream, const ModelDemand* demand,
                    coordination::TimePoint now);
  // The head of an answer, or the first event of a stream, has arrived: the
  // prefill is done.
  void OnStarted(SendRecord& record, coordination::TimePoint now);
  void OnLoadReport(std::string_view upstream, const UpstreamLoad& load,
                    coordination::TimePoint now);
  // Another VM has sent the upstream a prompt that needs this much prefill.
  void OnPeerPrefill(std::string_view upstream, std::int64_t prefill_tokens,
                     coordination::TimePoint now);
  // Removes a send from the counts, once for each record. Repeated failures
  // eject the upstream with exponential backoff. `events` is the number of a
  // stream's events that this send delivered.
  void OnEnded(const SendRecord& record, SendOutcome outcome,
               coordination::TimePoint now, std::int64_t events = 0);
  // Drops an upstream's state, unless requests to it are in flight, and what is
  // known about its speed and load in any case.
  void Forget(std::string_view upstream);

  // What other VMs are told, in turn as far as it doesn't fit in one message.
  SpeedMessage ReportForPeers(coordination::TimePoint now);
  // Takes a peer's report. Returns the number of its notices that name an
  // instance that this VM knows.
  std::int64_t OnPeerReport(const SpeedMessage& message,
                            coordination::TimePoint now);

  struct Stats {
    std::int64_t in_flight = 0;
    double failure_rate = 0;  // 0 to 1, moving average
  };
  Stats StatsOf(std::string_view upstream) const;
  // Whether the upstream has a free slot and no queue, and is not ejected.
  // Empty when this VM doesn't know: without a recent report.
  std::optional<bool> HasSpareCapacity(const UpstreamEntry& upstream,
                                       coordination::TimePoint now) const;

  std::vector<SpeedStats> AllSpeeds(coordination::TimePoint now) const;

 private:
  struct State {
    std::uint64_t instance = 0;      // hash of the instance's id
    std::int64_t start_time_ms = 0;  // of the instance
    ServiceRates* service = nullptr;
    std::int64_t max_reported_load = 0;  // requests, in a peer's report
    std::int64_t in_flight = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t kv_tokens = 0;
    LoadEstimate load;
    InstanceSpeed speed;
    // Estimated end of the prefill of prompts that other VMs have sent.
    coordination::TimePoint peer_prefill_done_at{};
    double failure_rate = 0;  // 0 to 1, moving average
    std::int64_t consecutive_failures = 0;
    coordination::TimePoint ejected_until{};
    std::shared_ptr<PrefixCache> cache;
  };
  struct StringHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const {
      return std::hash<std::string_view>{}(text);
    }
  };

  // Creates the state when there is none; what was known about an earlier
  // instance of the upstream is dropped.
  State& StateOf(const UpstreamEntry& upstream);
  State* FindState(std::string_view upstream);
  // How a request sees low reported loads, which other VMs see as well.
  struct Perception {
    bool uses_low_reports = true;
    double speed_discount = 0;  // 0 to 1, of being faster than the mean
  };
  SendDemand DemandOn(const State& state, const SelectionCriteria& criteria,
                      bool has_affinity) const;
  UpstreamView ViewOf(const State& state, const UpstreamEntry& upstream,
                      const SelectionCriteria& criteria,
                      const Perception& perception,
                      coordination::TimePoint now) const;
  void LearnFromStart(const SendRecord& record, State& state,
                      coordination::TimePoint now);

  std::string availability_zone;
  std::int64_t fleet_size = 0;  // VMs; 0: not known
  std::unordered_map<std::string, State, StringHash, std::equal_to<>> states;
  std::unordered_map<std::uint64_t, State*> states_by_instance;
  std::map<std::string, ServiceRates, std::less<>> services;
  std::size_t next_reported_speed = 0;
  std::vector<std::string_view> member_ids;  // a buffer of Select
};

}  // namespace hornbeamspool::policy
