// The refusal of a request that has to yield.
#pragma once

namespace hornbeamspool::policy {

struct OverloadDecision;
struct OverloadRequest;
struct Refusal;

Refusal ShedRefusal(const OverloadRequest& request,
                    const OverloadDecision& decision);

}  // namespace hornbeamspool::policy
