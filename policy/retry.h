// The retry policy of the node: which failed attempts are retried, within a
// retry budget that keeps a failing upstream from multiplying the load.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

// A token bucket that first attempts fill and retries empty.
class RetryBudget {
 public:
  // Called for each first attempt; adds a fraction of a retry.
  void Deposit();

  // Takes one retry. Returns false when none is left.
  bool TryWithdraw();

 private:
  static constexpr double kRetriesPerFirstAttempt = 0.1;
  static constexpr double kMaxRetries = 50;

  double available = 10;  // retries
};

// The attempts that one request has made.
struct AttemptState {
  std::int32_t count = 1;
  bool repeatable = true;  // the request may be executed twice
  bool reached = false;    // a byte may have reached an upstream
};

// True when the request may be sent to another upstream; the retry has then
// been taken from the budget.
bool MayRetry(const AttemptState& attempts, RetryBudget& budget);

}  // namespace hornbeamspool::policy
