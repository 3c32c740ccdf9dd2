#include "policy/brittle_upstreams.h"

#include <algorithm>
#include <chrono>

#include "coordination/rendezvous.h"

namespace hornbeamspool::policy {
namespace {

// An announcement that no answer has repeated for this long has ended.
constexpr coordination::Duration kTimeout = std::chrono::seconds(10);

}  // namespace

void BrittleUpstreams::SetPeers(std::vector<std::string> peers) {
  this->parts.clear();
  this->vms.resize(1);
  for (std::string& peer : peers) this->vms.push_back(std::move(peer));
}

bool BrittleUpstreams::OnAnswer(const UpstreamEntry& upstream, bool brittle,
                                coordination::TimePoint sent_at,
                                coordination::TimePoint now) {
  if (!brittle && this->announced.empty()) return false;
  auto& instances = this->announced[upstream.service];
  const bool before = !instances.empty();
  const std::string instance = upstream.InstanceId();
  if (brittle) {
    instances[instance] = now;
  } else if (const auto found = instances.find(instance);
             found != instances.end() && sent_at > found->second) {
    instances.erase(found);
  }
  std::erase_if(instances, [now](const auto& entry) {
    return now - entry.second > kTimeout;
  });
  const bool after = !instances.empty();
  if (!after) this->announced.erase(upstream.service);
  if (this->announced.empty()) this->parts.clear();
  return before != after;
}

// The parts of all VMs add up to the slots. Where there are fewer slots than
// VMs, the first VMs by rendezvous have one each.
std::int64_t BrittleUpstreams::PartOf(const UpstreamEntry& upstream) {
  Part& known = this->parts[upstream.id];
  if (known.slots == upstream.slots) return known.part;
  const auto count = static_cast<std::int64_t>(this->vms.size());
  const std::int64_t rest = upstream.slots % count;
  const auto weight = [&upstream](const std::string& vm) {
    return coordination::StableHash(upstream.id + '/' + vm);
  };
  const std::uint64_t own = weight(this->vms.front());
  const auto before =
      std::count_if(this->vms.begin() + 1, this->vms.end(),
                    [&](const std::string& vm) { return weight(vm) > own; });
  known = {upstream.slots, upstream.slots / count + (before < rest ? 1 : 0)};
  return known.part;
}

bool BrittleUpstreams::MaySend(const UpstreamEntry& upstream,
                               std::int64_t in_flight,
                               coordination::TimePoint now) {
  const auto service = this->announced.find(upstream.service);
  if (service == this->announced.end()) return true;
  const bool brittle = std::any_of(
      service->second.begin(), service->second.end(),
      [now](const auto& entry) { return now - entry.second <= kTimeout; });
  return !brittle || in_flight < this->PartOf(upstream);
}

}  // namespace hornbeamspool::policy
