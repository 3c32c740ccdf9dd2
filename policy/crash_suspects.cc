#include "policy/crash_suspects.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// An upstream that went down is known to be down within this time: its entry
// lapses after three missed heartbeats.
constexpr Duration kNoticed = std::chrono::seconds(8);

// The other VMs are told of a first crash after this time; what was in hand
// beside the cause has mostly been answered elsewhere by then.
constexpr Duration kNoticeDelay = std::chrono::milliseconds(500);

// A suspect that is brought again and again is told of anew after this time.
constexpr Duration kToldAgain = CrashSuspects::kMemory / 4;

// A start is asked again after this time.
constexpr Duration kProbePause = std::chrono::seconds(1);

// Breaks and suspects remembered.
constexpr std::size_t kMostRemembered = 4096;

// Part of the suspects that go when there are too many.
constexpr std::size_t kForgottenPart = 4;

}  // namespace

void CrashSuspects::OnSent(std::uint64_t fingerprint, std::string_view start) {
  auto found = this->in_hand.find(start);
  if (found == this->in_hand.end()) {
    found = this->in_hand.emplace(start, std::vector<std::uint64_t>{}).first;
  }
  found->second.push_back(fingerprint);
}

void CrashSuspects::OnEnded(std::uint64_t fingerprint, std::string_view start) {
  const auto found = this->in_hand.find(start);
  if (found == this->in_hand.end()) return;
  std::vector<std::uint64_t>& held = found->second;
  const auto ended = std::find(held.begin(), held.end(), fingerprint);
  if (ended == held.end()) return;
  *ended = held.back();
  held.pop_back();
  if (held.empty()) this->in_hand.erase(found);
}

void CrashSuspects::OnBroken(std::uint64_t fingerprint, std::string_view start,
                             TimePoint now) {
  this->Forget(now);
  if (this->breaks.size() >= kMostRemembered) this->breaks.pop_front();
  this->breaks.push_back({fingerprint, std::string(start), now});
}

void CrashSuspects::OnAnswered(std::uint64_t fingerprint) {
  this->suspects.erase(fingerprint);
  std::erase_if(this->breaks, [fingerprint](const Break& seen) {
    return seen.fingerprint == fingerprint;
  });
}

// What the start has in hand, and what broke off there.
std::vector<std::uint64_t> CrashSuspects::TakeInHand(std::string_view start) {
  std::vector<std::uint64_t> held;
  if (const auto found = this->in_hand.find(start);
      found != this->in_hand.end()) {
    held = found->second;
  }
  for (const Break& seen : this->breaks) {
    if (seen.start == start) held.push_back(seen.fingerprint);
  }
  std::erase_if(this->breaks,
                [start](const Break& seen) { return seen.start == start; });
  std::sort(held.begin(), held.end());
  held.erase(std::unique(held.begin(), held.end()), held.end());
  return held;
}

void CrashSuspects::OnDown(std::string_view start, TimePoint now) {
  this->Forget(now);
  for (const std::uint64_t fingerprint : this->TakeInHand(start)) {
    const auto known = this->suspects.find(fingerprint);
    if (known != this->suspects.end() && known->second.starts.contains(start)) {
      continue;
    }
    this->Learn({std::string(start), {fingerprint}}, now);
    const bool several = this->suspects[fingerprint].starts.size() > 1;
    this->Tell(start, fingerprint, several ? now : now + kNoticeDelay);
  }
}

void CrashSuspects::Learn(const CrashNotice& notice, TimePoint seen_at) {
  for (const std::uint64_t fingerprint : notice.fingerprints) {
    if (this->suspects.size() >= kMostRemembered) this->MakeRoom();
    Suspect& suspect = this->suspects[fingerprint];
    suspect.starts.insert(notice.start);
    suspect.last = std::max(suspect.last, seen_at);
    suspect.told_at = std::max(suspect.told_at, seen_at);
  }
}

void CrashSuspects::HoldBroken(TimePoint now) {
  for (Break& seen : this->breaks) seen.at = now;
}

std::size_t CrashSuspects::CrashesOf(std::uint64_t fingerprint, TimePoint now) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return 0;
  if (now - found->second.last < kMemory) return found->second.starts.size();
  this->suspects.erase(found);
  return 0;
}

bool CrashSuspects::IsInHand(std::uint64_t fingerprint) const {
  return std::any_of(
      this->in_hand.begin(), this->in_hand.end(), [&](const auto& entry) {
        const std::vector<std::uint64_t>& held = entry.second;
        return std::find(held.begin(), held.end(), fingerprint) != held.end();
      });
}

bool CrashSuspects::MaySend(std::uint64_t fingerprint, TimePoint now) {
  const std::size_t crashes = this->CrashesOf(fingerprint, now);
  if (crashes >= kMostCrashes) return false;
  return crashes + 1 < kMostCrashes || !this->IsInHand(fingerprint);
}

void CrashSuspects::OnRefused(std::uint64_t fingerprint, TimePoint now) {
  const auto found = this->suspects.find(fingerprint);
  if (found == this->suspects.end()) return;
  Suspect& suspect = found->second;
  suspect.last = now;
  if (now - suspect.told_at < kToldAgain) return;
  suspect.told_at = now;
  for (const std::string& start : suspect.starts) {
    this->Tell(start, fingerprint, now);
  }
}

bool CrashSuspects::WantsProbe(std::string_view start, TimePoint now) {
  this->Forget(now);
  std::erase_if(this->probed, [now](const auto& entry) {
    return now - entry.second >= kProbePause;
  });
  const bool broke =
      std::any_of(this->breaks.begin(), this->breaks.end(),
                  [start](const Break& seen) { return seen.start == start; });
  return broke && this->probed.emplace(start, now).second;
}

// Adds the request to what is due of the start at that time.
void CrashSuspects::Tell(std::string_view start, std::uint64_t fingerprint,
                         TimePoint due) {
  for (Pending& each : this->pending) {
    if (each.due != due || each.notice.start != start) continue;
    if (each.notice.fingerprints.size() >= kMostNoticed) continue;
    each.notice.fingerprints.push_back(fingerprint);
    return;
  }
  this->pending.push_back({{std::string(start), {fingerprint}}, due});
}

std::vector<CrashNotice> CrashSuspects::TakeNotices(TimePoint now) {
  std::vector<CrashNotice> notices;
  for (Pending& each : this->pending) {
    if (each.due > now) continue;
    std::erase_if(each.notice.fingerprints, [&](std::uint64_t fingerprint) {
      return !this->suspects.contains(fingerprint);
    });
    if (each.notice.fingerprints.empty()) continue;
    notices.push_back(std::move(each.notice));
  }
  std::erase_if(this->pending,
                [now](const Pending& each) { return each.due <= now; });
  return notices;
}

void CrashSuspects::Forget(TimePoint now) {
  while (!this->breaks.empty() && now - this->breaks.front().at > kNoticed) {
    this->breaks.pop_front();
  }
}

// Drops the requests with the fewest crashes, of these the oldest.
void CrashSuspects::MakeRoom() {
  using Entry = std::map<std::uint64_t, Suspect>::iterator;
  std::vector<Entry> entries;
  for (auto it = this->suspects.begin(); it != this->suspects.end(); ++it) {
    entries.push_back(it);
  }
  const auto dropped =
      static_cast<std::ptrdiff_t>(entries.size() / kForgottenPart);
  const auto less = [](const Entry& a, const Entry& b) {
    const std::size_t crashes_a = a->second.starts.size();
    const std::size_t crashes_b = b->second.starts.size();
    if (crashes_a != crashes_b) return crashes_a < crashes_b;
    return a->second.last < b->second.last;
  };
  std::nth_element(entries.begin(), entries.begin() + dropped, entries.end(),
                   less);
  for (auto it = entries.begin(); it != entries.begin() + dropped; ++it) {
    this->suspects.erase(*it);
  }
}

}  // namespace hornbeamspool::policy
