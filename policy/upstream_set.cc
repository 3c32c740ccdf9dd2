#include "policy/upstream_set.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

// How long a failed upstream gets no new work while another can take it.
constexpr coordination::Duration kEjectionTime = std::chrono::seconds(2);
// Penalties are fractions of the KV cache, added to its load.
constexpr double kOtherZonePenalty = 0.2;
constexpr double kWaitingPenalty = 0.02;  // per queued request
// KV cache of an upstream that does not report its capacity.
constexpr std::int64_t kDefaultCapacityTokens = 100'000;

bool IsEligible(const Upstream& upstream, const UpstreamDemand& demand) {
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
  return reported > 0 ? reported : kDefaultCapacityTokens;
}

// Estimated tokens in the KV cache: the report includes requests of other
// routers, the local count includes requests newer than the report.
std::int64_t KvTokens(const Upstream& upstream) {
  return std::max(upstream.report.kv_tokens, upstream.kv_tokens);
}

double Load(const Upstream& upstream, const UpstreamDemand& demand) {
  const auto capacity = static_cast<double>(Capacity(upstream));
  double load = static_cast<double>(KvTokens(upstream)) / capacity;
  load += kWaitingPenalty * static_cast<double>(upstream.report.waiting);
  load += static_cast<double>(upstream.open_requests) / capacity;
  if (upstream.listed.availability_zone != demand.availability_zone) {
    load += kOtherZonePenalty;
  }
  return load;
}

bool IsSameListing(const ListedUpstream& a, const ListedUpstream& b) {
  return a.instance == b.instance && a.version == b.version &&
         a.address == b.address && a.draining == b.draining;
}

}  // namespace

std::vector<std::string> UpstreamSet::SetListed(
    std::span<const ListedUpstream> listed) {
  std::vector<std::string> changed;
  std::map<std::string, Upstream, std::less<>> next;
  for (const ListedUpstream& entry : listed) {
    auto known = this->upstreams.find(entry.name);
    if (known == this->upstreams.end()) {
      changed.push_back(entry.name);
      next[entry.name].listed = entry;
      continue;
    }
    if (!IsSameListing(known->second.listed, entry)) {
      changed.push_back(entry.name);
    }
    Upstream updated = std::move(known->second);
    updated.listed = entry;
    next[entry.name] = std::move(updated);
    this->upstreams.erase(known);
  }
  for (const auto& [name, removed] : this->upstreams) changed.push_back(name);
  this->upstreams = std::move(next);
  return changed;
}

void UpstreamSet::SetReport(const LoadReport& report) {
  auto found = this->upstreams.find(report.upstream);
  if (found == this->upstreams.end()) return;
  found->second.report = report;
}

std::vector<const Upstream*> UpstreamSet::Eligible(
    const UpstreamDemand& demand) const {
  std::vector<const Upstream*> eligible;
  for (const auto& [name, upstream] : this->upstreams) {
    if (IsEligible(upstream, demand)) eligible.push_back(&upstream);
  }
  return eligible;
}

const Upstream* UpstreamSet::Select(const UpstreamDemand& demand,
                                    coordination::TimePoint now) const {
  const Upstream* best = nullptr;
  double best_load = 0;
  bool best_ejected = false;
  for (const auto& [name, upstream] : this->upstreams) {
    if (!IsEligible(upstream, demand)) continue;
    const std::int64_t needed = KvTokens(upstream) + demand.tokens;
    if (needed > Capacity(upstream)) continue;
    const bool ejected = now < upstream.ejected_until;
    const double load = Load(upstream, demand);
    const bool better = best == nullptr || (best_ejected && !ejected) ||
                        (best_ejected == ejected && load < best_load);
    if (!better) continue;
    best = &upstream;
    best_load = load;
    best_ejected = ejected;
  }
  return best;
}

void UpstreamSet::BeginRequest(std::string_view name, std::int64_t tokens) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  found->second.kv_tokens += tokens;
  ++found->second.open_requests;
}

void UpstreamSet::EndRequest(std::string_view name, std::int64_t tokens) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  Upstream& upstream = found->second;
  upstream.kv_tokens = std::max<std::int64_t>(0, upstream.kv_tokens - tokens);
  upstream.open_requests =
      std::max<std::int64_t>(0, upstream.open_requests - 1);
}

void UpstreamSet::MarkFailed(std::string_view name,
                             coordination::TimePoint now) {
  auto found = this->upstreams.find(name);
  if (found == this->upstreams.end()) return;
  found->second.ejected_until = now + kEjectionTime;
}

}  // namespace hornbeamspool::policy
