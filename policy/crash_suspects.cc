#include "policy/crash_suspects.h"

#include <chrono>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// An upstream that went down is known to be down within this time: its entry
// lapses after three missed heartbeats.
constexpr Duration kNoticed = std::chrono::seconds(8);

// Callers come again within their deadlines, of some tens of seconds.
constexpr Duration kMemory = std::chrono::minutes(2);

// The other VMs are told after this time; what was in hand beside the cause has
// mostly been answered elsewhere by then.
constexpr Duration kNoticeDelay = std::chrono::milliseconds(500);

// Breaks and suspects remembered; the oldest are forgotten first.
constexpr std::size_t kMostRemembered = 4096;

}  // namespace

void CrashSuspects::OnBroken(std::uint64_t fingerprint,
                             std::string_view upstream, TimePoint now) {
  this->Forget(now);
  if (this->breaks.size() >= kMostRemembered) this->breaks.pop_front();
  this->breaks.push_back({fingerprint, std::string(upstream), now});
}

void CrashSuspects::OnAnswered(std::uint64_t fingerprint) {
  this->suspects.erase(fingerprint);
  std::erase_if(this->breaks, [fingerprint](const Break& seen) {
    return seen.fingerprint == fingerprint;
  });
}

void CrashSuspects::OnDown(std::string_view upstream, TimePoint now) {
  this->Forget(now);
  CrashNotice notice;
  notice.upstream = upstream;
  for (const Break& seen : this->breaks) {
    if (seen.upstream != upstream) continue;
    notice.fingerprints.push_back(seen.fingerprint);
  }
  std::erase_if(this->breaks, [upstream](const Break& seen) {
    return seen.upstream == upstream;
  });
  if (notice.fingerprints.empty()) return;
  this->Learn(notice, now);
  this->pending.push_back({std::move(notice), now + kNoticeDelay});
}

void CrashSuspects::Learn(const CrashNotice& notice, TimePoint now) {
  for (const std::uint64_t fingerprint : notice.fingerprints) {
    if (this->suspects.size() >= kMostRemembered) {
      this->suspects.erase(this->suspects.begin());
    }
    Suspect& suspect = this->suspects[fingerprint];
    suspect.upstreams.insert(notice.upstream);
    suspect.last = now;
  }
}

std::size_t CrashSuspects::CrashesOf(std::uint64_t fingerprint, TimePoint now) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return 0;
  if (now - found->second.last < kMemory) return found->second.upstreams.size();
  this->suspects.erase(found);
  return 0;
}

std::vector<CrashNotice> CrashSuspects::TakeNotices(TimePoint now) {
  std::vector<CrashNotice> notices;
  while (!this->pending.empty() && this->pending.front().due <= now) {
    CrashNotice notice;
    notice.upstream = this->pending.front().notice.upstream;
    for (const std::uint64_t fingerprint :
         this->pending.front().notice.fingerprints) {
      if (!this->suspects.contains(fingerprint)) continue;
      if (notice.fingerprints.size() >= kMostNoticed) break;
      notice.fingerprints.push_back(fingerprint);
    }
    this->pending.pop_front();
    if (!notice.fingerprints.empty()) notices.push_back(std::move(notice));
  }
  return notices;
}

void CrashSuspects::Forget(TimePoint now) {
  while (!this->breaks.empty() && now - this->breaks.front().at > kNoticed) {
    this->breaks.pop_front();
  }
}

}  // namespace hornbeamspool::policy
