#include "policy/retry.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

constexpr std::int32_t kMaxTries = 3;

}  // namespace

void RetryBudget::NoteFirstTry() {
  this->tokens = std::min(kMost, this->tokens + kEarnedPerTry);
}

bool RetryBudget::Take() {
  if (this->tokens < 1) return false;
  this->tokens -= 1;
  return true;
}

bool MayRetry(const TryState& state, RetryBudget& budget) {
  if (state.tries >= kMaxTries) return false;
  if (state.reached && !state.repeatable) return false;
  return budget.Take();
}

}  // namespace hornbeamspool::policy
