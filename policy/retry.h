// Decides whether a failed try may be repeated. Retries are paid from a budget
// of their own, so that a failing upstream cannot multiply the load.
#pragma once

#include <cstdint>

namespace hornbeamspool::policy {

class RetryBudget {
 public:
  // Each first try earns a fraction of a retry.
  void NoteFirstTry();

  // Takes one retry. Returns false when none is left.
  bool Take();

 private:
  static constexpr double kEarnedPerTry = 0.1;
  static constexpr double kMost = 50;

  double tokens = 10;
};

// State of one request's tries.
struct TryState {
  std::int32_t tries = 1;
  bool repeatable = true;  // the call may be sent twice
  bool reached = false;    // a byte may have reached an upstream
};

// True when the request may be sent to another upstream.
bool MayRetry(const TryState& state, RetryBudget& budget);

}  // namespace hornbeamspool::policy
