// Leaves cold upstreams out of a choice while warm ones have spare capacity.
#pragma once

#include <vector>

#include "coordination/time.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::policy {

class ColdUpstreams;
class UpstreamSelector;

// Returns whether a warm one has. Those whose load this VM doesn't know are
// judged by the others: with hundreds of VMs, one has recent reports of a few
// upstreams only. Without any report, they count as having it.
bool PreferWarm(const ColdUpstreams& cold, const UpstreamSelector& selector,
                std::vector<const UpstreamEntry*>& upstreams,
                coordination::TimePoint now);

}  // namespace hornbeamspool::policy
