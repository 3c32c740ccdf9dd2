#include "policy/rate_limits.h"

#include <algorithm>
#include <utility>

namespace hornbeamspool::policy {

using coordination::TimePoint;

RateLimits::Change RateLimits::OnAnswer(std::string_view instance,
                                        const AnnouncedRate& rate,
                                        TimePoint sent_at, TimePoint now) {
  auto found = this->states.find(instance);
  const bool known = found != this->states.end();
  if (!known && rate.kind == AnnouncedRate::Kind::kUnlimited) {
    return Change::kNone;
  }
  if (!known) found = this->states.try_emplace(std::string(instance)).first;
  State& state = found->second;
  if (rate.kind == AnnouncedRate::Kind::kMalformed) {
    return std::exchange(state.malformed, true) ? Change::kNone
                                                : Change::kMalformed;
  }
  const bool was_limited = state.rate.kind == AnnouncedRate::Kind::kLimited;
  if (rate.kind == AnnouncedRate::Kind::kUnlimited) {
    if (sent_at <= state.announced_at) return Change::kNone;
    this->states.erase(found);
    return was_limited ? Change::kEnded : Change::kNone;
  }
  const AnnouncedRate before = std::exchange(state.rate, rate);
  state.announced_at = now;
  state.malformed = false;
  if (!was_limited) return Change::kAnnounced;
  return before == rate ? Change::kNone : Change::kChanged;
}

void RateLimits::OnSent(std::string_view instance, TimePoint now) {
  const auto found = this->states.find(instance);
  if (found == this->states.end()) return;
  std::deque<TimePoint>& sends = found->second.sends;
  while (!sends.empty() && now - sends.front() >= kSendWindow) {
    sends.pop_front();
  }
  sends.push_back(now);
}

void RateLimits::Prune(const std::set<std::string, std::less<>>& live,
                       TimePoint horizon) {
  std::erase_if(this->states, [&](const auto& entry) {
    return entry.second.announced_at < horizon && !live.contains(entry.first);
  });
}

std::vector<RateLimits::Stats> RateLimits::AllStats(TimePoint now) const {
  std::vector<Stats> all;
  for (const auto& [instance, state] : this->states) {
    if (state.rate.kind != AnnouncedRate::Kind::kLimited) continue;
    const auto recent = std::count_if(
        state.sends.begin(), state.sends.end(),
        [now](TimePoint sent) { return now - sent < kSendWindow; });
    all.push_back({instance, state.rate.per_second,
                   static_cast<double>(recent) /
                       std::chrono::duration<double>(kSendWindow).count()});
  }
  return all;
}

}  // namespace hornbeamspool::policy
