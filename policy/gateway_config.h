// The configuration of a gateway: routes by host and path to services, the
// organisations' keys and budgets, and what callers may send.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// What a route's requests allow.
enum class RouteKind : std::uint8_t {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // runs at most once
  kStream,         // an event stream; runs at most once unless resumable
  kCount
};

// A part of a route's traffic that goes to one service.
struct ServiceShare {
  std::string service;
  std::int64_t weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string prefix;  // begins and ends with a slash
  RouteKind kind = RouteKind::kNonIdempotent;
  coordination::Duration timeout{};         // longest wait of a caller
  coordination::Duration target_latency{};  // of a stream: to its first event
  coordination::Duration target_pause{};    // of a stream: between its events
  std::int64_t priority = 0;                // 0 is the most urgent
  std::vector<ServiceShare> shares;
  std::int64_t attempts = 1;  // upstreams that one request may be sent to
  bool is_public = false;     // needs no key
  bool resumable = false;     // a stream that another upstream can go on with

  // True when a request may run again after an unknown outcome.
  bool MayRepeat() const {
    return this->kind == RouteKind::kIdempotent ||
           (this->kind == RouteKind::kStream && this->resumable);
  }
};

// A model engine, as far as its service tells.
struct EngineTraits {
  std::int64_t slots = 1;               // requests that run at once
  std::int64_t kv_capacity_tokens = 0;  // for running requests and cached parts
  std::int64_t max_tokens_per_event = 1;  // most that one event holds
};

struct Service {
  std::string name;
  std::string health_path;
  std::int64_t max_connections = 0;  // to one upstream, from all callers
  std::optional<EngineTraits> engine;
};

// An organisation with its keys.
struct GatewayOrganisation {
  std::string name;
  std::vector<std::string> keys;
  std::optional<std::int64_t> priority;  // goes before the route's
  std::optional<std::int64_t> prepaid;   // tokens; none: no budget
};

// What callers may send, and how long they may take.
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
  std::vector<GatewayOrganisation>
      organisations;  // empty: no request needs a key
  CallerLimits limits;
};

}  // namespace hornbeamspool::policy
