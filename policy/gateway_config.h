// Configuration of a gateway: routes from host and path to services,
// organisations with their keys and budgets, and limits on callers.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Retry semantics of a route's requests.
enum class RouteKind : std::uint8_t {
  kIdempotent,     // may be executed more than once
  kNonIdempotent,  // executed at most once
  kStream,         // event stream; executed at most once unless resumable
  kCount
};

// One target of a route's weighted traffic split.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  coordination::Duration timeout{};  // upper bound on a request's deadline
  // Target response time; for streams, the time to the first event.
  coordination::Duration target_latency{};
  // Target time between two events of a stream.
  coordination::Duration target_pause{};
  std::int64_t priority = 0;  // 0 is the most urgent
  std::vector<ServiceShare> shares;
  std::int64_t attempts = 1;  // upstreams that may execute one request
  bool is_public = false;     // needs no API key
  bool resumable = false;     // another upstream can continue a broken stream

  // Whether a request whose outcome is unknown may be executed again.
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

// Properties of a service's model engines, as configured.
struct EngineTraits {
  std::int64_t slots = 1;  // requests that run concurrently
  // KV cache of one engine, for running requests and cached prefixes; 0: not
  // known.
  std::int64_t kv_capacity_tokens = 0;
  std::int64_t max_tokens_per_event = 1;
};

struct Service {
  std::string name;
  std::string health_path;
  // Of the whole fleet to one upstream; 0: no limit.
  std::int64_t max_connections = 0;
  std::optional<EngineTraits> engine;
  // Requests a second of the whole fleet to an upstream that is cold; 0: the
  // service's upstreams are never cold.
  double cold_per_second = 0;
  // How long an upstream is cold after a start.
  coordination::Duration cold_start{};
};

struct GatewayOrganisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::int64_t> priority;  // overrides the route's
  std::optional<std::int64_t> prepaid;   // tokens; empty: no budget
};

// Limits on the size and duration of a caller's request.
struct CallerLimits {
  std::int64_t header_bytes = 16 * 1024;
  std::int64_t body_bytes = 4 << 20;
  coordination::Duration header_timeout = std::chrono::seconds(3);
  coordination::Duration idle_timeout = std::chrono::seconds(15);
};

struct GatewayConfig {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<std::string, Service, std::less<>> services;
  // When empty, no request needs an API key.
  std::vector<GatewayOrganisation> organisations;
  CallerLimits limits;
};

}  // namespace hornbeamspool::policy
