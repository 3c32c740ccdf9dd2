// The configuration that is in force everywhere: organisations, classes of
// work, models and plain routes. It never holds addresses or weights.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Targets of a class of work. The operator states these; priorities follow.
struct ClassTargets {
  coordination::Duration first_token{};  // 95 in 100 within this
  coordination::Duration token_gap{};    // 95 in 100 within this
  coordination::Duration deadline{};     // whole answer
};

struct WorkClass {
  std::string name;
  ClassTargets targets;
};

// A caller's key. Only its SHA-256 (lower-case hex) is kept.
struct OrganisationKey {
  std::string sha256;
  std::string budget;
};

struct Organisation {
  std::string name;
  std::vector<OrganisationKey> keys;
  std::vector<std::string> classes;  // classes it may use; first is default
};

// Whether the engines of a service refuse an order with an old fencing number.
enum class FencingSupport : std::uint8_t { kIgnored, kChecked };

struct Model {
  std::string name;     // `model` in the caller's request
  std::string service;  // service of the upstreams that run it
  std::string version;  // version that takes traffic
  std::int64_t default_max_tokens = 0;
  std::int64_t limit_max_tokens = 0;
  std::int64_t min_bytes_per_token = 1;  // floor of the model's tokenizer
  FencingSupport fencing = FencingSupport::kIgnored;
};

// Which calls of a plain route may be repeated by the system.
struct RouteCall {
  std::vector<std::string> methods;
  bool repeatable = false;
  bool key_required = true;  // an Idempotency-Key is demanded
};

struct PlainRoute {
  std::string prefix;
  std::string service;
  std::int64_t price_tokens = 0;  // drawn from the budget for each call
  std::vector<RouteCall> calls;
};

struct FleetConfig {
  std::vector<Organisation> organisations;
  std::vector<WorkClass> classes;
  std::vector<Model> models;
  std::vector<PlainRoute> routes;
};

}  // namespace hornbeamspool::policy
