#include "policy/balancing/prefix_cache.h"

namespace hornbeamspool::policy {
namespace {

// Size of the modelled cache. Engines evict the least recently used parts.
constexpr std::int64_t kPrefixCacheTokens = 200'000;

}  // namespace

void PrefixCache::Touch(const PromptPart& part) {
  if (const auto found = this->positions.find(part.id);
      found != this->positions.end()) {
    this->parts.splice(this->parts.begin(), this->parts, found->second);
    return;
  }
  this->parts.push_front(part);
  this->positions[part.id] = this->parts.begin();
  this->tokens += part.tokens;
  while (this->tokens > kPrefixCacheTokens) {
    this->tokens -= this->parts.back().tokens;
    this->positions.erase(this->parts.back().id);
    this->parts.pop_back();
  }
}

}  // namespace hornbeamspool::policy
