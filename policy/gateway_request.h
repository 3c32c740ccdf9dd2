// The properties of a caller's request that routing decisions depend on.
#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// A part of a model request's prompt, which other requests may share. An engine
// that holds a part and all parts before it in its prefix cache skips their
// prefill.
struct PromptPart {
  std::uint64_t id = 0;
  std::int64_t tokens = 0;
};

// The tokens of a model request.
struct ModelDemand {
  std::int64_t prompt_tokens = 0;
  std::int64_t max_output_tokens = 0;
  std::vector<PromptPart> parts;  // in order; the last one is not shared

  // Upper bound of the tokens that the request uses.
  std::int64_t MaxTokens() const {
    return this->prompt_tokens + this->max_output_tokens;
  }
};

struct GatewayRequest {
  std::string id;
  std::string host;
  std::string path;
  std::string key;  // API key; empty when the caller sent none
  coordination::Duration caller_timeout;  // from the arrival
  std::optional<ModelDemand> demand;
  // Of a prompt whose counts of tokens the caller did not send.
  std::vector<PromptPart> uncounted_parts;
  // Hash of target, API key and body: copies of a request share it.
  std::uint64_t fingerprint = 0;
  std::int64_t body_bytes = 0;

  // Of the prompt, in order; the last one is not shared.
  std::span<const PromptPart> Parts() const {
    return this->demand ? this->demand->parts : this->uncounted_parts;
  }
};

}  // namespace hornbeamspool::policy
