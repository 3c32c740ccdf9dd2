// A caller's request, as far as the gateway's decisions need it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// A part of a model request's prompt. Requests share parts; an engine that has
// read a part, and all parts before it, need not read it again.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// What a model request asks of an engine.
struct ModelDemand {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;  // in order; the last is the request's own

  // Tokens that the request costs at its most.
  std::int64_t MaxTokens() const {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

struct GatewayRequest {
  std::string id;
  std::string host;
  std::string path;
  std::string key;                        // empty when the caller sent none
  coordination::Duration caller_timeout;  // how long the caller waits
  std::optional<ModelDemand> demand;
  std::uint64_t fingerprint = 0;  // hash of path, key and body
};

}  // namespace hornbeamspool::policy
