// What one VM knows of each upstream's load, cached prompt parts and failures,
// and the choice of the upstream for a request.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "coordination/time.h"
#include "policy/gateway_request.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::policy {

// An upstream's own word of its load.
struct UpstreamLoad {
  std::int64_t running = 0;
  std::int64_t waiting = 0;
  std::int64_t slots = 0;
};

// How a send ended.
enum class SendOutcome : std::uint8_t {
  kAnswered,       // the upstream's whole answer
  kUpstreamError,  // the upstream's whole answer, which tells of its own
                   // failure, and was held back
  kErrorRelayed,   // such an answer, which the caller got
  kRejected,       // the upstream said that it did not run the request
  kMisdirected,    // another upstream has the address; the request has not run
  kUnreachable,    // no byte was sent
  kNotListening,   // neither: nobody listens at the upstream's address
  kNoRoom,         // not sent: this VM has its most connections to the upstream
  kBroken,         // sent; the answer failed or belongs to another request
  kSilent,         // sent; no answer came in time
  kAbandoned,      // the caller left
  kCount
};

// Whether the caller has its answer.
constexpr bool IsAnswer(SendOutcome outcome) {
  return outcome == SendOutcome::kAnswered ||
         outcome == SendOutcome::kErrorRelayed;
}

// One request at one upstream.
struct SendRecord {
  std::string upstream;
  std::int64_t prefill_tokens = 0;  // of the prompt, until the first event
  std::int64_t held_tokens = 0;     // of the engine's memory
  std::int64_t prefill_tokens_ahead = 0;  // prefill there when it was sent
  coordination::TimePoint sent_at{};
  bool started = false;  // the first event has come
};

// What the choice of an upstream depends on.
struct SelectionCriteria {
  const ModelDemand* demand = nullptr;    // null: no model request
  std::int64_t kv_capacity_tokens = 0;    // of an engine; 0: not known
  coordination::Duration target_pause{};  // of streams
};

class UpstreamSelector {
 public:
  explicit UpstreamSelector(std::string availability_zone);

  // The upstream to send to among `upstreams`, leaving out the ids in `avoid`;
  // null when none can take the request now.
  const UpstreamEntry* Select(std::span<const UpstreamEntry* const> upstreams,
                              const SelectionCriteria& criteria,
                              std::span<const std::string> avoid,
                              coordination::TimePoint now);

  SendRecord OnSent(const UpstreamEntry& upstream, const ModelDemand* demand,
                    coordination::TimePoint now);
  // The answer's head, or a stream's first event, has come.
  void OnStarted(SendRecord& record, coordination::TimePoint now);
  void OnLoadReport(std::string_view upstream, const UpstreamLoad& load,
                    coordination::TimePoint now);
  // Another VM has sent the upstream so many prompt tokens to read.
  void OnPeerPrompt(std::string_view upstream, std::int64_t prefill_tokens,
                    coordination::TimePoint now);
  // Ends the record.
  void OnEnded(const SendRecord& record, SendOutcome outcome,
               coordination::TimePoint now);
  void Forget(std::string_view upstream);

  struct Stats {
    std::int64_t in_flight = 0;
    double failure_rate = 0;
  };
  Stats StatsOf(std::string_view upstream) const;

 private:
  // The prompt parts that an upstream has read lately, the latest first.
  class PartCache;

  struct State {
    std::int64_t in_flight = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t held_tokens = 0;
    UpstreamLoad load;  // as last reported
    coordination::TimePoint load_at{};
    // When it will have read what other VMs have sent.
    coordination::TimePoint peers_prefilled_at{};
    std::int64_t sent_since_load = 0;
    double failure_rate = 0;  // 0 to 1, recent
    std::int64_t failures_in_a_row = 0;
    coordination::TimePoint ejected_until{};
    std::shared_ptr<PartCache> cache;
  };

  State& StateOf(std::string_view upstream);
  // Prompt tokens that an upstream would have to read.
  struct Prefill {
    std::int64_t own = 0;
    std::int64_t shared = 0;
  };
  Prefill PrefillOf(const State& state, const ModelDemand& demand,
                    bool home) const;
  double PrefillBacklogMs(const State& state,
                          coordination::TimePoint now) const;
  double StallCost(double prefill_ms, double target_ms) const;
  double Cost(const State& state, const UpstreamEntry& upstream,
              const SelectionCriteria& criteria, bool home,
              coordination::TimePoint now) const;

  std::string availability_zone;
  double ms_per_token;  // that engines take to read a prompt
  std::unordered_map<std::string, State> states;
};

}  // namespace hornbeamspool::policy
