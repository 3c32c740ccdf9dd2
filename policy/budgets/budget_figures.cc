#include "policy/budgets/budget_figures.h"

#include <array>
#include <string_view>

#include "policy/event.h"

namespace hornbeamspool::policy {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(BudgetState::kCount)>
    kStateNames{"unknown", "out_of_reach", "used_up"};

}  // namespace

BudgetState BudgetFigures::StateFor(std::int64_t needed) const {
  if (!this->rows_known) return BudgetState::kUnknown;
  const std::int64_t left = this->prepaid - this->committed + this->share_left +
                            this->gifts_left + this->held_elsewhere;
  return left < needed ? BudgetState::kUsedUp : BudgetState::kOutOfReach;
}

std::string BudgetFigures::LogFields(std::int64_t needed) const {
  const auto state = static_cast<std::size_t>(this->StateFor(needed));
  std::string fields = KeyValue("budget", kStateNames.at(state));
  fields += ' ' + KeyValue("needed", needed);
  fields += ' ' + KeyValue("prepaid", this->prepaid);
  fields += ' ' + KeyValue("share_left", this->share_left);
  fields += ' ' + KeyValue("gifts_left", this->gifts_left);
  if (!this->rows_known) return fields;
  fields += ' ' + KeyValue("fleet_committed", this->committed);
  fields += ' ' + KeyValue("fleet_spent", this->known_spent);
  fields += ' ' + KeyValue("held_elsewhere", this->held_elsewhere);
  return fields;
}

}  // namespace hornbeamspool::policy
