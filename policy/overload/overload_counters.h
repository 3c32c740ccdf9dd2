// Counts decisions by class and by organisation.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "policy/overload/overload_request.h"

namespace hornbeamspool::policy {

class OverloadCounters {
 public:
  struct Counts {
    std::int64_t admitted = 0;
    std::int64_t delayed = 0;
    // By OverloadReason.
    std::array<std::int64_t, static_cast<std::size_t>(OverloadReason::kCount)>
        refused{};
  };
  using ByName = std::map<std::string, Counts, std::less<>>;

  void Add(const OverloadRequest& request, const OverloadDecision& decision) {
    Count(this->by_route, request.route, decision);
    Count(this->by_organisation, request.organisation, decision);
  }

  const ByName& ByRoute() const { return this->by_route; }
  const ByName& ByOrganisation() const { return this->by_organisation; }

 private:
  // Names beyond this number share one entry.
  static constexpr std::size_t kMaxNames = 64;

  static void Count(ByName& names, std::string_view name,
                    const OverloadDecision& decision) {
    auto found = names.find(name);
    if (found == names.end()) {
      if (names.size() >= kMaxNames) name = "(other)";
      found = names.try_emplace(std::string(name)).first;
    }
    Counts& counts = found->second;
    switch (decision.kind) {
      case OverloadDecision::Kind::kAdmit:
        ++counts.admitted;
        break;
      case OverloadDecision::Kind::kWait:
        ++counts.delayed;
        break;
      case OverloadDecision::Kind::kRefuse:
        ++counts.refused.at(static_cast<std::size_t>(decision.reason));
        break;
    }
  }

  ByName by_route;
  ByName by_organisation;
};

}  // namespace hornbeamspool::policy
