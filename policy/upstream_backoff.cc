#include "policy/upstream_backoff.h"

#include <algorithm>
#include <chrono>

#include "coordination/rendezvous.h"
#include "policy/announced_backoff.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Pauses end later by up to this fraction of them, as a divisor, and up to this
// time, so that the VMs don't all return at once.
constexpr std::int64_t kJitterDivisor = 4;
constexpr Duration kMaxJitter = std::chrono::seconds(1);

// Requests that may be in flight right after a pause, at most; one more for
// each answer.
constexpr std::int64_t kMaxInitialWindow = 4;
// Answers after a pause that end the limit.
constexpr std::int64_t kTrialAnswers = 12;

Duration JitterOf(std::string_view vm, std::string_view instance,
                  Duration pause) {
  constexpr std::int64_t kSteps = 64;
  const std::uint64_t hash =
      coordination::StableHash(instance, coordination::StableHash(vm));
  const auto step = static_cast<std::int64_t>(hash % kSteps);
  return std::min(pause / kJitterDivisor, kMaxJitter) * step / kSteps;
}

}  // namespace

bool UpstreamBackoff::OnLeaving(std::string_view instance, bool identified,
                                TimePoint said_at) {
  const auto found = this->leaving.find(instance);
  if (found != this->leaving.end()) {
    Leaving& known = found->second;
    const bool ended =
        !known.identified && said_at - known.said_at >= kUnidentifiedTimeout;
    known.said_at = std::max(known.said_at, said_at);
    return ended;
  }
  if (this->leaving.size() >= kMaxInstances) return false;
  this->leaving.emplace(instance, Leaving{identified, said_at});
  return true;
}

bool UpstreamBackoff::IsLeaving(std::string_view instance,
                                TimePoint now) const {
  const auto found = this->leaving.find(instance);
  if (found == this->leaving.end()) return false;
  return found->second.identified ||
         now - found->second.said_at < kUnidentifiedTimeout;
}

bool UpstreamBackoff::OnPause(std::string_view vm, std::string_view instance,
                              Duration pause, TimePoint now) {
  PauseKey key{vm, instance};
  const auto found = this->pauses.find(key);
  if (this->pauses.size() >= kMaxInstances && found == this->pauses.end()) {
    return false;
  }
  const Duration bounded = std::min(pause, kMaxPause);
  const TimePoint end = now + bounded;
  const TimePoint until = end + JitterOf(vm, instance, bounded);
  Pause& state = this->pauses[std::move(key)];
  const bool news = end > state.end + kMinExtension;
  state = Pause{std::max(state.end, end), std::max(state.until, until)};
  return news;
}

const UpstreamBackoff::Pause* UpstreamBackoff::FindPause(
    std::string_view vm, std::string_view instance) const {
  if (this->pauses.empty()) return nullptr;
  const auto found =
      this->pauses.find(PauseKey{std::string(vm), std::string(instance)});
  return found == this->pauses.end() ? nullptr : &found->second;
}

TimePoint UpstreamBackoff::PausedUntil(std::string_view vm,
                                       std::string_view instance,
                                       TimePoint now) const {
  const Pause* pause = this->FindPause(vm, instance);
  return pause != nullptr && now < pause->until ? pause->until : TimePoint{};
}

bool UpstreamBackoff::IsWithheld(std::string_view vm, std::string_view instance,
                                 TimePoint now) const {
  return this->IsLeaving(instance, now) ||
         this->PausedUntil(vm, instance, now) != TimePoint{};
}

bool UpstreamBackoff::MayChoose(std::string_view vm, std::string_view instance,
                                TimePoint now) const {
  if (this->IsLeaving(instance, now)) return false;
  const Pause* pause = this->FindPause(vm, instance);
  return pause == nullptr ||
         (now >= pause->until && pause->in_flight < pause->window);
}

UpstreamBackoff::Pause* UpstreamBackoff::FindTried(std::string_view instance,
                                                   TimePoint sent_at) {
  if (this->pauses.empty()) return nullptr;
  const auto found =
      this->pauses.find(PauseKey{this->vm, std::string(instance)});
  const bool tries =
      found != this->pauses.end() && sent_at >= found->second.until;
  return tries ? &found->second : nullptr;
}

void UpstreamBackoff::OnSent(std::string_view instance, std::int64_t slots,
                             TimePoint now) {
  Pause* pause = this->FindTried(instance, now);
  if (pause == nullptr) return;
  ++pause->in_flight;
  if (pause->answers > 0) return;
  pause->window = std::clamp<std::int64_t>(
      slots / std::max<std::int64_t>(1, this->fleet_size), 1,
      kMaxInitialWindow);
}

void UpstreamBackoff::OnAnswer(std::string_view instance, TimePoint sent_at) {
  Pause* pause = this->FindTried(instance, sent_at);
  if (pause == nullptr) return;
  ++pause->window;
  if (++pause->answers < kTrialAnswers) return;
  this->pauses.erase(PauseKey{this->vm, std::string(instance)});
}

void UpstreamBackoff::OnEnded(std::string_view instance, TimePoint sent_at) {
  Pause* pause = this->FindTried(instance, sent_at);
  if (pause == nullptr) return;
  pause->in_flight = std::max<std::int64_t>(0, pause->in_flight - 1);
}

std::vector<UpstreamBackoff::Notice> UpstreamBackoff::Notices(
    TimePoint now) const {
  std::vector<Notice> notices;
  for (const auto& [instance, state] : this->leaving) {
    if (!this->IsLeaving(instance, now)) continue;
    notices.push_back({instance,
                       {},
                       state.identified,
                       {},
                       std::min(now - state.said_at, kMaxNoticeAge)});
  }
  for (const auto& [key, state] : this->pauses) {
    if (now >= state.end) continue;
    notices.push_back({key.second, key.first, true, state.end - now, {}});
  }
  return notices;
}

void UpstreamBackoff::Prune(const std::set<std::string, std::less<>>& live,
                            TimePoint now) {
  std::erase_if(this->leaving, [&](const auto& entry) {
    const Duration age = now - entry.second.said_at;
    if (!entry.second.identified && age >= kUnidentifiedTimeout) return true;
    return age >= kRetention && !live.contains(entry.first);
  });
  // A pause of this VM is kept after its end until the upstream has answered.
  std::erase_if(this->pauses, [&](const auto& entry) {
    if (now < entry.second.until) return false;
    const bool own = entry.first.first == this->vm;
    return !own || (now - entry.second.until >= kRetention &&
                    !live.contains(entry.first.second));
  });
}

}  // namespace hornbeamspool::policy
