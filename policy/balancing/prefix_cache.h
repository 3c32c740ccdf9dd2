// Model of an engine's prefix cache: a least-recently-used cache of prompt
// parts.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>

#include "policy/gateway_request.h"

namespace hornbeamspool::policy {

class PrefixCache {
 public:
  bool Contains(std::uint64_t part) const {
    return this->positions.contains(part);
  }
  // Inserts a part, or marks it as most recently used.
  void Touch(const PromptPart& part);

 private:
  std::list<PromptPart> parts;  // most recently used first
  std::unordered_map<std::uint64_t, std::list<PromptPart>::iterator> positions;
  std::int64_t tokens = 0;
};

}  // namespace hornbeamspool::policy
