#include "policy/crash_suspects.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Delay of the notice of a request's first crash. Most of the harmless requests
// that were in flight at the crash have been answered elsewhere by then and
// need no notice.
constexpr Duration kFirstNoticeDelay = std::chrono::milliseconds(500);

// The shortest interval between notices that renew a suspicion.
constexpr Duration kRenewalInterval = CrashSuspects::kSuspicionTimeout / 4;

// The shortest interval between probes of one instance.
constexpr Duration kProbeInterval = std::chrono::seconds(1);

// Limit of the suspects that are kept.
constexpr std::size_t kMaxEntries = 4096;

// One in this many suspects is evicted when the limit is reached.
constexpr std::size_t kEvictionDivisor = 4;

}  // namespace

void CrashSuspects::OnAnswered(std::uint64_t fingerprint) {
  this->suspects.erase(fingerprint);
  this->sends.EraseIncomplete(
      [fingerprint](std::uint64_t send) { return send == fingerprint; });
}

void CrashSuspects::OnCrash(std::string_view instance_id, TimePoint now) {
  std::vector<std::uint64_t> fingerprints =
      this->sends.TakeAffected(instance_id, now);
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
  for (const std::uint64_t fingerprint : fingerprints) {
    const auto suspect = this->suspects.find(fingerprint);
    if (suspect != this->suspects.end() &&
        suspect->second.crashed.contains(instance_id)) {
      continue;
    }
    this->ApplyNotice({std::string(instance_id), {fingerprint}}, now);
    const bool first = this->suspects[fingerprint].crashed.size() == 1;
    this->AddNotice(instance_id, fingerprint,
                    first ? now + kFirstNoticeDelay : now);
  }
}

void CrashSuspects::ApplyNotice(const CrashNotice& notice, TimePoint seen_at) {
  for (const std::uint64_t fingerprint : notice.fingerprints) {
    if (this->suspects.size() >= kMaxEntries) this->EvictSuspects();
    Suspect& suspect = this->suspects[fingerprint];
    suspect.crashed.insert(notice.instance_id);
    suspect.last_seen = std::max(suspect.last_seen, seen_at);
    suspect.announced_at = std::max(suspect.announced_at, seen_at);
  }
}

std::size_t CrashSuspects::CrashCount(std::uint64_t fingerprint,
                                      TimePoint now) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return 0;
  if (now - found->second.last_seen < kSuspicionTimeout) {
    return found->second.crashed.size();
  }
  this->suspects.erase(found);
  return 0;
}

bool CrashSuspects::MaySend(std::uint64_t fingerprint, TimePoint now) {
  const std::size_t crashes = this->CrashCount(fingerprint, now);
  if (crashes >= kSuspectCrashes) return false;
  return crashes + 1 < kSuspectCrashes || !this->sends.IsInFlight(fingerprint);
}

void CrashSuspects::OnRefused(std::uint64_t fingerprint, TimePoint now) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return;
  Suspect& suspect = found->second;
  suspect.last_seen = now;
  if (now - suspect.announced_at < kRenewalInterval) return;
  suspect.announced_at = now;
  for (const std::string& instance_id : suspect.crashed) {
    this->AddNotice(instance_id, fingerprint, now);
  }
}

bool CrashSuspects::ShouldProbe(std::string_view instance_id, TimePoint now) {
  std::erase_if(this->probed, [now](const auto& entry) {
    return now - entry.second >= kProbeInterval;
  });
  return this->sends.HasIncomplete(instance_id, now) &&
         this->probed.emplace(instance_id, now).second;
}

// Adds the request to a pending notice of the instance with this due time,
// or to a new one when there is none or it is full.
void CrashSuspects::AddNotice(std::string_view instance_id,
                              std::uint64_t fingerprint, TimePoint due) {
  for (PendingNotice& entry : this->pending) {
    CrashNotice& notice = entry.notice;
    if (entry.due != due || notice.instance_id != instance_id) continue;
    if (notice.fingerprints.size() >= kMaxNoticeFingerprints) continue;
    notice.fingerprints.push_back(fingerprint);
    return;
  }
  this->pending.push_back({{std::string(instance_id), {fingerprint}}, due});
}

std::vector<CrashNotice> CrashSuspects::TakeNotices(TimePoint now) {
  std::vector<CrashNotice> notices;
  for (PendingNotice& entry : this->pending) {
    if (entry.due > now) continue;
    std::erase_if(entry.notice.fingerprints, [&](std::uint64_t fingerprint) {
      return !this->suspects.contains(fingerprint);
    });
    if (entry.notice.fingerprints.empty()) continue;
    notices.push_back(std::move(entry.notice));
  }
  std::erase_if(this->pending,
                [now](const PendingNotice& entry) { return entry.due <= now; });
  return notices;
}

// Evicts the suspects with the fewest crashes; among equals, the least recently
// seen.
void CrashSuspects::EvictSuspects() {
  using Entry = std::map<std::uint64_t, Suspect>::iterator;
  std::vector<Entry> entries;
  for (auto it = this->suspects.begin(); it != this->suspects.end(); ++it) {
    entries.push_back(it);
  }
  const auto evicted =
      static_cast<std::ptrdiff_t>(entries.size() / kEvictionDivisor);
  const auto evicted_first = [](const Entry& a, const Entry& b) {
    const std::size_t crashes_a = a->second.crashed.size();
    const std::size_t crashes_b = b->second.crashed.size();
    if (crashes_a != crashes_b) return crashes_a < crashes_b;
    return a->second.last_seen < b->second.last_seen;
  };
  std::nth_element(entries.begin(), entries.begin() + evicted, entries.end(),
                   evicted_first);
  for (auto it = entries.begin(); it != entries.begin() + evicted; ++it) {
    this->suspects.erase(*it);
  }
}

}  // namespace hornbeamspool::policy
