// The configuration that all routers of a fleet share: organisations, classes
// of work, models and plain routes. It holds no addresses or traffic weights.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Latency targets of a class of work. The priority of its requests follows from
// them.
struct ClassTargets {
  coordination::Duration first_token{};  // 95th percentile
  coordination::Duration token_gap{};    // 95th percentile, between tokens
  coordination::Duration deadline{};     // of the whole answer
};

struct WorkClass {
  std::string name;
  ClassTargets targets;
};

// A bearer key of an organisation, and the budget that its requests spend.
struct OrganisationKey {
  std::string sha256;  // of the key, lower-case hex; the key itself is not kept
  std::string budget;
};

struct Organisation {
  std::string name;
  std::vector<OrganisationKey> keys;
  std::vector<std::string> classes;  // that it may use; the first is default
};

// Whether the engines of a service reject control commands that carry an
// outdated fencing token.
enum class FencingSupport : std::uint8_t { kIgnored, kChecked };

struct Model {
  std::string name;     // `model` in the caller's request
  std::string service;  // of the upstreams that run it
  std::string version;  // that receives traffic
  std::int64_t default_max_tokens = 0;
  std::int64_t limit_max_tokens = 0;
  // Lower bound of the model's tokenizer. Prompts are reserved for at this
  // rate.
  std::int64_t min_bytes_per_token = 1;
  FencingSupport fencing = FencingSupport::kIgnored;
};

// How calls of a plain route with one of these methods are treated.
struct RouteCall {
  std::vector<std::string> methods;
  bool repeatable = false;   // idempotent: may be retried and run twice
  bool key_required = true;  // needs an Idempotency-Key unless repeatable
};

// Forwards HTTP calls other than model requests to a service.
struct PlainRoute {
  std::string prefix;  // of the path; the longest match applies
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
