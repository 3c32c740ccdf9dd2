#include "policy/uplink_monitor.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Results older than this say nothing about the present.
constexpr Duration kWindow = std::chrono::milliseconds(1500);

// A VM is cut off when the attempts to this many upstreams, or to all where
// there are fewer, have failed, and no more than a fifth of the recent ones
// succeeded.
constexpr std::size_t kMinFailed = 5;
constexpr std::size_t kFailedPerReached = 4;

// Successes after which it is no longer cut off, if they outnumber failures.
constexpr std::size_t kMinReached = 2;

// At most one round of probes in this time.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
constexpr std::size_t kSuspicionProbes = 4;
constexpr std::size_t kRecoveryProbes = 2;
// After a refusal: probes of others, until one is accepted.
constexpr Duration kConfirmInterval = std::chrono::milliseconds(50);
constexpr std::size_t kConfirmingProbes = 2;
// An upstream with a result as recent as this is not probed again.
constexpr Duration kRecent = std::chrono::milliseconds(200);
// A busy VM without a result for this long probes one upstream.
constexpr Duration kMaxSilence = std::chrono::seconds(1);

}  // namespace

UplinkMonitor::Counts UplinkMonitor::CountRecent(TimePoint now) {
  Counts counts;
  for (auto it = this->results.begin(); it != this->results.end();) {
    if (now - it->second.at > kWindow) {
      it = this->results.erase(it);
      continue;
    }
    ++(it->second.reached ? counts.reached : counts.failed);
    ++it;
  }
  return counts;
}

void UplinkMonitor::OnConnect(std::string_view upstream, bool reached,
                              TimePoint now) {
  this->in_use = true;
  this->results[std::string(upstream)] = {reached, now};
  const Counts counts = this->CountRecent(now);
  if (this->cut_off) {
    const std::size_t needed = std::min(kMinReached, this->upstreams);
    this->cut_off = counts.reached < needed || counts.reached <= counts.failed;
    return;
  }
  const std::size_t needed =
      this->upstreams == 0 ? kMinFailed : std::min(kMinFailed, this->upstreams);
  this->cut_off = counts.failed >= needed &&
                  counts.failed >= kFailedPerReached * counts.reached;
}

bool UplinkMonitor::ReachedAnother(std::string_view upstream,
                                   TimePoint since) const {
  return std::any_of(this->results.begin(), this->results.end(),
                     [&](const auto& entry) {
                       return entry.first != upstream && entry.second.reached &&
                              entry.second.at >= since;
                     });
}

std::vector<std::string> UplinkMonitor::TakeDueProbes(
    std::span<const std::string> upstreams, bool busy, TimePoint now) {
  this->upstreams = upstreams.size();
  if (upstreams.empty() || now - this->probed_at < kProbeInterval) return {};
  const Counts counts = this->CountRecent(now);
  std::size_t wanted = 0;
  if (this->cut_off) {
    wanted = kRecoveryProbes;
  } else if (counts.failed > 0 && counts.reached == 0) {
    wanted = kSuspicionProbes;
  } else if (busy && counts.reached + counts.failed == 0 &&
             now - this->probed_at >= kMaxSilence) {
    wanted = 1;
  }
  std::vector<std::string> probes = this->NextProbes(upstreams, wanted, now);
  if (!probes.empty()) this->probed_at = now;
  return probes;
}

std::vector<std::string> UplinkMonitor::TakeConfirmingProbes(
    std::span<const std::string> upstreams, TimePoint now) {
  const bool due =
      !this->cut_off && now - this->confirmed_at >= kConfirmInterval;
  if (!due) return {};
  this->confirmed_at = now;
  return this->NextProbes(upstreams, kConfirmingProbes, now);
}

std::vector<std::string> UplinkMonitor::NextProbes(
    std::span<const std::string> upstreams, std::size_t count, TimePoint now) {
  std::vector<std::string> probes;
  for (std::size_t i = 0; i < upstreams.size() && probes.size() < count; ++i) {
    const std::string& upstream =
        upstreams[this->next_probe++ % upstreams.size()];
    const auto known = this->results.find(upstream);
    const bool is_recent =
        known != this->results.end() && now - known->second.at < kRecent;
    if (!is_recent) probes.push_back(upstream);
  }
  return probes;
}

}  // namespace hornbeamspool::policy
