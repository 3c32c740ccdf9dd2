// The figures that decide whether a budget covers a request, for the log.
#pragma once

#include <cstdint>
#include <string>

namespace hornbeamspool::policy {

// Why a budget did not cover a request.
enum class BudgetState : std::uint8_t {
  kUnknown,     // this VM has not read the budget's rows: a home decided
  kOutOfReach,  // tokens are left, but this VM can't draw them in time
  kUsedUp,      // all tokens that are left together don't cover the request
  kCount
};

// One budget as a VM knows it. All amounts are in tokens.
struct BudgetFigures {
  std::int64_t prepaid = 0;
  std::int64_t share_left = 0;  // of this VM's limit, not reserved or spent
  std::int64_t gifts_left = 0;  // received and not reserved
  // As of the last read; not known unless `rows_known`.
  std::int64_t committed = 0;       // of the fleet
  std::int64_t known_spent = 0;     // of the fleet, at the checkpoints
  std::int64_t held_elsewhere = 0;  // unspent in other VMs' shares
  bool rows_known = false;

  // Why the budget did not cover a request for `needed` tokens.
  BudgetState StateFor(std::int64_t needed) const;
  // The figures and the state as key=value pairs of a log line.
  std::string LogFields(std::int64_t needed) const;
};

}  // namespace hornbeamspool::policy
