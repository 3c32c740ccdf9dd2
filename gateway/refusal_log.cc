#include "gateway/refusal_log.h"

#include <algorithm>
#include <span>

#include "policy/event.h"

namespace hornbeamspool::gateway {
namespace {

using policy::ErrorKind;
using policy::KeyValue;

// Limit on the parts of a prompt that a log line names.
constexpr std::size_t kMaxLoggedParts = 8;

}  // namespace

std::string PartsField(const policy::GatewayRequest& request) {
  const std::span<const policy::PromptPart> parts = request.Parts();
  if (parts.empty()) return {};
  std::string names;
  for (std::size_t i = 0; i < std::min(parts.size(), kMaxLoggedParts); ++i) {
    if (i > 0) names += ',';
    names += policy::Hex(parts[i].id);
  }
  return ' ' + KeyValue("parts", names);
}

std::string AdmittedFields(const policy::AdmittedRequest& admitted,
                           const policy::Refusal& refusal,
                           const policy::BudgetManager& budgets) {
  std::string fields = PartsField(admitted.request);
  fields += ' ' + KeyValue("route", admitted.route->name);
  fields += ' ' + KeyValue("sends", admitted.sends);
  if (!admitted.organisation) return fields;
  const std::string& organisation = admitted.organisation->name;
  fields += ' ' + KeyValue("organisation", organisation);
  const bool budget = refusal.kind == ErrorKind::kBudgetUnavailable ||
                      refusal.kind == ErrorKind::kBudgetExhausted;
  if (!budget || !admitted.request.demand) return fields;
  const std::int64_t needed = admitted.request.demand->MaxTokens();
  return fields + ' ' + budgets.Figures(organisation).LogFields(needed);
}

}  // namespace hornbeamspool::gateway
