// Rows of the table of budgets.
#pragma once

#include "gateway/row_codec.h"
#include "policy/budget_share.h"

namespace hornbeamspool::policy {

template <typename Archive>
void serialize(Archive& archive, BudgetTotal& total) {
  archive(total.committed, total.known_spent);
}

template <typename Archive>
void serialize(Archive& archive, BudgetShare& share) {
  archive(share.incarnation, share.limit, share.spent, share.committed,
          share.checkpoint_ms, share.burst, share.per_second);
}

}  // namespace hornbeamspool::policy
