#include "policy/retry.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

constexpr std::int32_t kMaxAttempts = 3;

}  // namespace

void RetryBudget::Deposit() {
  this->available =
      std::min(kMaxRetries, this->available + kRetriesPerFirstAttempt);
}

bool RetryBudget::TryWithdraw() {
  if (this->available < 1) return false;
  this->available -= 1;
  return true;
}

bool MayRetry(const AttemptState& attempts, RetryBudget& budget) {
  if (attempts.count >= kMaxAttempts) return false;
  if (attempts.reached && !attempts.repeatable) return false;
  return budget.TryWithdraw();
}

}  // namespace hornbeamspool::policy
