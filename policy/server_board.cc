#include "policy/server_board.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include "coordination/rendezvous.h"
#include "policy/gateway_config.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Costs are counted in prompt tokens to read.

// A running request slows the others on its engine as much as this.
constexpr double kRunningCost = 250;
// A request that waits at the server: a prompt of usual length.
constexpr double kWaitingCost = 1500;
// Crossing availability zones: bytes are priced, and take a little longer.
constexpr double kZoneCost = 150;
// A server whose answers all fail.
constexpr double kFailureCost = 40'000;
// A server that is full, by its slots or its memory.
constexpr double kFullCost = 20'000;

// A report is believed for this long; servers answer several times a second.
constexpr Duration kLoadAge = std::chrono::milliseconds(1000);

// Recent failures count by this weight each.
constexpr double kFailureWeight = 0.15;

// A server that can't be reached is left alone, longer each time.
constexpr Duration kFirstSuspension = std::chrono::milliseconds(300);
constexpr std::int64_t kMostDoublings = 4;

// Engines evict what has not been used for long; parts beyond this many tokens
// are taken as evicted. Used where an engine's memory isn't known.
constexpr std::int64_t kCacheTokens = 200'000;

// A part that the home server has surely read when other VMs send it there,
// but may have evicted.
constexpr double kHomeTrust = 0.8;

std::array<char, sizeof(std::uint64_t)> BytesOf(std::uint64_t value) {
  std::array<char, sizeof(value)> bytes{};
  for (char& byte : bytes) {
    byte = static_cast<char>(value & 0xffU);
    value >>= 8U;
  }
  return bytes;
}

// The part that decides where a request is at home: the last shared one.
std::optional<std::uint64_t> HomeKey(const ModelDemand* demand) {
  if (demand == nullptr || demand->parts.size() < 2) return std::nullopt;
  return demand->parts[demand->parts.size() - 2].id;
}

const ServerEntry* HomeOf(std::uint64_t key,
                          std::span<const ServerEntry* const> servers) {
  std::vector<std::string_view> members;
  members.reserve(servers.size());
  for (const ServerEntry* server : servers) members.push_back(server->id);
  const auto bytes = BytesOf(key);
  const auto owner =
      coordination::RendezvousOwner({bytes.data(), bytes.size()}, members);
  return owner ? servers[*owner] : nullptr;
}

}  // namespace

class ServerBoard::PartCache {
 public:
  bool Holds(std::uint64_t part) const { return this->places.contains(part); }

  void Use(const PromptPart& part) {
    if (const auto found = this->places.find(part.id);
        found != this->places.end()) {
      this->parts.splice(this->parts.begin(), this->parts, found->second);
      return;
    }
    this->parts.push_front(part);
    this->places[part.id] = this->parts.begin();
    this->tokens += part.tokens;
    while (this->tokens > kCacheTokens) {
      this->tokens -= this->parts.back().tokens;
      this->places.erase(this->parts.back().id);
      this->parts.pop_back();
    }
  }

 private:
  std::list<PromptPart> parts;
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> places;
  std::int64_t tokens = 0;
};

ServerBoard::State& ServerBoard::StateOf(std::string_view server) {
  State& state = this->states[std::string(server)];
  if (!state.cache) state.cache = std::make_shared<PartCache>();
  return state;
}

// Prompt tokens that the server would have to read.
std::int64_t ServerBoard::UnreadTokens(const State& state,
                                       const ServerEntry& server,
                                       const ModelDemand& demand,
                                       bool home) const {
  std::int64_t cached = 0;
  bool known = true;
  double trusted = 0;
  for (std::size_t i = 0; i + 1 < demand.parts.size(); ++i) {
    const PromptPart& part = demand.parts[i];
    known = known && state.cache->Holds(part.id);
    if (known) {
      cached += part.tokens;
    } else if (home) {
      trusted += static_cast<double>(part.tokens) * kHomeTrust;
    }
  }
  (void)server;
  return std::max<std::int64_t>(
      1, demand.prompt_tokens - cached - static_cast<std::int64_t>(trusted));
}

double ServerBoard::Cost(const State& state, const ServerEntry& server,
                         const ModelDemand* demand, const EngineTraits* engine,
                         bool home, TimePoint now) const {
  const bool reported = now - state.load_at < kLoadAge;
  std::int64_t running = state.in_flight;
  std::int64_t waiting = 0;
  if (reported) {
    running = std::max(running, state.load.running + state.sent_since_load);
    waiting = state.load.waiting;
  }
  double cost = static_cast<double>(state.unread_tokens) +
                static_cast<double>(running) * kRunningCost +
                static_cast<double>(waiting) * kWaitingCost +
                state.failure_rate * kFailureCost;
  if (server.availability_zone != this->availability_zone) cost += kZoneCost;
  const std::int64_t slots = std::max<std::int64_t>(1, server.slots);
  if (running >= slots) {
    cost += kFullCost * (1 + static_cast<double>(running - slots + waiting) /
                                 static_cast<double>(slots));
  }
  if (demand != nullptr) {
    cost +=
        static_cast<double>(this->UnreadTokens(state, server, *demand, home));
    const bool crowded =
        engine != nullptr && engine->memory_tokens > 0 &&
        state.held_tokens + demand->WorstCase() > engine->memory_tokens;
    if (crowded) cost += kFullCost;
  }
  return cost;
}

const ServerEntry* ServerBoard::Choose(
    std::span<const ServerEntry* const> servers, const ModelDemand* demand,
    const EngineTraits* engine, std::span<const std::string> avoid,
    TimePoint now) {
  // Step 1: the server where the request's shared parts are at home.
  const std::optional<std::uint64_t> key = HomeKey(demand);
  const ServerEntry* home = key ? HomeOf(*key, servers) : nullptr;

  // Step 2: the cheapest server; suspended ones only when no other is left.
  const ServerEntry* best = nullptr;
  double best_cost = std::numeric_limits<double>::infinity();
  bool best_suspended = true;
  for (const ServerEntry* server : servers) {
    if (std::find(avoid.begin(), avoid.end(), server->id) != avoid.end()) {
      continue;
    }
    const State& state = this->StateOf(server->id);
    const bool suspended = state.suspended_until > now;
    if (best != nullptr && suspended && !best_suspended) continue;
    const double cost =
        this->Cost(state, *server, demand, engine, server == home, now);
    const bool better =
        best == nullptr || (best_suspended && !suspended) || cost < best_cost;
    if (!better) continue;
    best = server;
    best_cost = cost;
    best_suspended = suspended;
  }
  return best;
}

SendRecord ServerBoard::OnSent(const ServerEntry& server,
                               const ModelDemand* demand, TimePoint now) {
  (void)now;
  State& state = this->StateOf(server.id);
  SendRecord record;
  record.server = server.id;
  ++state.in_flight;
  ++state.sent_since_load;
  if (demand == nullptr) return record;
  record.unread_tokens = this->UnreadTokens(state, server, *demand, false);
  record.held_tokens = demand->WorstCase();
  state.unread_tokens += record.unread_tokens;
  state.held_tokens += record.held_tokens;
  for (std::size_t i = 0; i + 1 < demand->parts.size(); ++i) {
    state.cache->Use(demand->parts[i]);
  }
  return record;
}

void ServerBoard::OnStarted(SendRecord& record) {
  if (record.started) return;
  record.started = true;
  this->StateOf(record.server).unread_tokens -= record.unread_tokens;
}

void ServerBoard::OnLoad(std::string_view server, const ServerLoad& load,
                         TimePoint now) {
  State& state = this->StateOf(server);
  state.load = load;
  state.load_at = now;
  state.sent_since_load = 0;
}

void ServerBoard::OnEnded(const SendRecord& record, SendOutcome outcome,
                          TimePoint now) {
  State& state = this->StateOf(record.server);
  --state.in_flight;
  state.held_tokens -= record.held_tokens;
  if (!record.started) state.unread_tokens -= record.unread_tokens;
  if (outcome == SendOutcome::kAbandoned) return;
  const bool failed = outcome == SendOutcome::kUnreachable ||
                      outcome == SendOutcome::kBroken ||
                      outcome == SendOutcome::kSilent;
  state.failure_rate +=
      kFailureWeight * ((failed ? 1.0 : 0.0) - state.failure_rate);
  if (!failed) {
    state.failures_in_a_row = 0;
    return;
  }
  const bool suspends =
      outcome == SendOutcome::kUnreachable || ++state.failures_in_a_row > 2;
  if (!suspends) return;
  if (outcome == SendOutcome::kUnreachable) ++state.failures_in_a_row;
  const auto doublings =
      static_cast<unsigned>(std::min(state.failures_in_a_row, kMostDoublings));
  state.suspended_until = now + kFirstSuspension * (1U << doublings) / 2;
}

void ServerBoard::Forget(std::string_view server) {
  const auto found = this->states.find(std::string(server));
  if (found == this->states.end() || found->second.in_flight > 0) return;
  this->states.erase(found);
}

ServerBoard::Figures ServerBoard::FiguresOf(std::string_view server) const {
  const auto found = this->states.find(std::string(server));
  if (found == this->states.end()) return {};
  return {found->second.in_flight, found->second.failure_rate};
}

}  // namespace hornbeamspool::policy
