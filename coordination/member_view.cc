#include "coordination/member_view.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace hornbeamspool::coordination {
namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(MemberState::kCount)>
    kStateNames{"alive", "leaving", "suspect"};

}  // namespace

std::string_view MemberStateName(MemberState state) {
  return kStateNames.at(static_cast<std::size_t>(state));
}

bool MemberView::Observe(const MemberReport& report, TimePoint now) {
  auto found = this->members.find(report.name);
  if (found == this->members.end()) {
    Member member{report, now, MemberState::kAlive};
    member.state = this->StateAt(member, now);
    this->members.emplace(report.name, std::move(member));
    return true;
  }
  Member& known = found->second;
  const bool newer = std::tie(report.incarnation, report.beat) >
                     std::tie(known.report.incarnation, known.report.beat);
  if (!newer) return false;
  known.report = report;
  known.advanced_at = now;
  known.state = this->StateAt(known, now);
  return true;
}

std::vector<std::string> MemberView::Advance(TimePoint now) {
  std::vector<std::string> changed;
  std::erase_if(this->members, [&](const auto& entry) {
    return now - entry.second.advanced_at > this->timing.forget_after;
  });
  for (auto& [name, member] : this->members) {
    const MemberState state = this->StateAt(member, now);
    if (state == member.state) continue;
    member.state = state;
    changed.push_back(name);
  }
  return changed;
}

std::vector<MemberReport> MemberView::Sample(std::size_t limit) {
  std::vector<MemberReport> sample;
  const std::size_t count = std::min(limit, this->members.size());
  auto next = this->members.upper_bound(this->sample_cursor);
  while (sample.size() < count) {
    if (next == this->members.end()) next = this->members.begin();
    this->sample_cursor = next->first;
    sample.push_back(next->second.report);
    ++next;
  }
  return sample;
}

std::size_t MemberView::CountAlive() const {
  return static_cast<std::size_t>(std::count_if(
      this->members.begin(), this->members.end(), [](const auto& entry) {
        return entry.second.state == MemberState::kAlive;
      }));
}

MemberState MemberView::StateAt(const Member& member, TimePoint now) const {
  if (member.report.leaving) return MemberState::kLeaving;
  const bool timed_out = now - member.advanced_at > this->timing.suspect_after;
  return timed_out ? MemberState::kSuspect : MemberState::kAlive;
}

}  // namespace hornbeamspool::coordination
