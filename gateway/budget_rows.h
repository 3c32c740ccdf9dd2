// Serialization of the rows of the budget table. The order of the fields is the
// stored format.
#pragma once

#include "gateway/row_codec.h"
#include "policy/budget_share.h"

namespace hornbeamspool::policy {

template <typename Archive>
void serialize(Archive& archive, BudgetTotal& total) {
  archive(total.committed, total.known_spent);
}

template <typename Archive>
void save(Archive& archive, const BudgetShare& share) {
  archive(share.incarnation, share.limit, share.spent, share.committed,
          share.checkpoint_ms, share.burst, share.per_second,
          share.initial_per_second, share.initial_rate_ms, share.era,
          share.catch_up_per_second);
}

// Earlier builds did not write the last fields: their rate limit did not depend
// on the checkpoint's age, they did not know of eras, and after the initial
// rate they used the full one at once. A successor of such a build ignores
// `catch_up_per_second` and then counts more as spent than was.
template <typename Archive>
void load(Archive& archive, BudgetShare& share) {
  archive(share.incarnation, share.limit, share.spent, share.committed,
          share.checkpoint_ms, share.burst, share.per_second);
  try {
    archive(share.initial_per_second, share.initial_rate_ms);
  } catch (const cereal::Exception&) {
    share.initial_per_second = share.per_second;
    share.initial_rate_ms = 0;
    return;
  }
  try {
    archive(share.era);
  } catch (const cereal::Exception&) {
    share.era = 0;
    return;
  }
  try {
    archive(share.catch_up_per_second);
  } catch (const cereal::Exception&) {
    share.catch_up_per_second = 0;
  }
}

}  // namespace hornbeamspool::policy
