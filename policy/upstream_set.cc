#include "policy/upstream_set.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

// How long a failed upstream gets no new work while another can take it.
constexpr coordination::Duration kAvoidFor = std::chrono::seconds(2);
// Added to the load of an upstream in another zone, as a share of its memory.
constexpr double kOtherZonePenalty = 0.2;
// Stands in for the memory of an upstream that does not report it.
constexpr std::int64_t kAssumedCapacityTokens = 100'000;
// Load that one waiting request adds, as a share of memory.
constexpr double kWaitingPenalty = 0.02;

bool Serves(const Upstream& upstream, const UpstreamDemand& demand) {
  if (upstream.listed.draining) return false;
  if (upstream.listed.service != demand.service) return false;
  if (!demand.version.empty() && upstream.listed.version != demand.version) {
    return false;
  }
  const auto& excluded = demand.excluded;
  return std::find(excluded.begin(), excluded.end(), upstream.listed.name) ==
         excluded.end();
}

std::int64_t Capacity(const Upstream& upstream) {
  const std::int64_t reported = upstream.report.capacity_tokens;
  return reported > 0 ? reported : kAssumedCapacityTokens;
}

// Tokens thought to be held: the report covers other routers, the local count
// covers what the report has not seen yet.
std::int64_t HeldTokens(const Upstream& upstream) {
  return std::max(upstream.report.held_tokens, upstream.held_tokens);
}

double Load(const Upstream& upstream, const UpstreamDemand& demand) {
  const auto capacity = static_cast<double>(Capacity(upstream));
  double load = static_cast<double>(HeldTokens(upstream)) / capacity;
  load += kWaitingPenalty * static_cast<double>(upstream.report.waiting);
  load += static_cast<double>(upstream.open_requests) / capacity;
  if (upstream.listed.availability_zone != demand.availability_zone) {
    load += kOtherZonePenalty;
  }
  return load;
}

bool SameListing(const ListedUpstream& a, const ListedUpstream& b) {
  return a.version == b.version && a.address == b.address &&
         a.draining == b.draining;
}

}  // namespace

std::vector<std::string> UpstreamSet::SetListed(
    std::span<const ListedUpstream> listed) {
  std::vector<std::string> changed;
  std::map<std::string, Upstream, std::less<>> next;
  for (const ListedUpstream& line : listed) {
    auto known = this->upstreams.find(line.name);
    if (known == this->upstreams.end()) {
      changed.push_back(line.name);
      next[line.name].listed = line;
      continue;
    }
    if (!SameListing(known->second.listed, line)) changed.push_back(line.name);
    Upstream kept = std::move(known->second);
    kept.listed = line;
    next[line.name] = std::move(kept);
    this->upstreams.erase(known);
  }
  for (const auto& [name, gone] : this->upstreams) changed.push_back(name);
  this->upstreams = std::move(next);
  return changed;
}

void UpstreamSet::SetReport(const LoadReport& report) {
  auto found = this->upstreams.find(report.upstream);
  if (found == this->upstreams.end()) return;
  found->second.report = report;
}

const Upstream* UpstreamSet::Choose(const UpstreamDemand& demand,
                                    coordination::TimePoint now) const {
  const Upstream* best = nullptr;
  double best_load = 0;
  bool best_avoided = false;
  for (const auto& [name, upstream] : this->upstreams) {
    if (!Serves(upstream, demand)) continue;
    const std::int64_t held = HeldTokens(upstream) + demand.tokens;
    if (held > Capacity(upstream)) continue;
    const bool avoided = now < upstream.ejected_until;
    const double load = Load(upstream, demand);
    const bool better = best == nullptr || (best_avoided && !avoided) ||
                        (best_avoided == avoided && load < best_load);
    if (!better) continue;
    best = &upstream;
    best_load = load;
    best_avoided = avoided;
  }
  return best;
}

void UpstreamSet::Open(std::string_view name, std::int64_t tokens) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  found->second.held_tokens += tokens;
  ++found->second.open_requests;
}

void UpstreamSet::Close(std::string_view name, std::int64_t tokens) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  Upstream& upstream = found->second;
  upstream.held_tokens =
      std::max<std::int64_t>(0, upstream.held_tokens - tokens);
  upstream.open_requests =
      std::max<std::int64_t>(0, upstream.open_requests - 1);
}

void UpstreamSet::MarkFailed(std::string_view name,
                             coordination::TimePoint now) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  found->second.ejected_until = now + kAvoidFor;
}

}  // namespace hornbeamspool::policy
