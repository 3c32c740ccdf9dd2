#include "policy/warmup/cold_upstreams.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Follows the instance in the key of its limit. Sent to other VMs: never
// changed.
constexpr std::string_view kKeySuffix = "#cold";

// A later start is taken from a peer only if it is later by more than this.
// Otherwise messages that were read late would prolong a period that VMs keep
// telling each other of.
constexpr Duration kStartTolerance = std::chrono::milliseconds(200);

// Added to each period: the tolerance, and the delay that is assumed of a
// peer's report (50 ms).
constexpr Duration kMargin = std::chrono::milliseconds(250);

// The difference that makes an announcement the newer one.
constexpr Duration kStep{1};

}  // namespace

std::string ColdUpstreams::PermitKey(std::string_view instance) {
  std::string key(instance);
  key += kKeySuffix;
  return key;
}

std::optional<std::string_view> ColdUpstreams::InstanceOf(
    std::string_view key) {
  if (!key.ends_with(kKeySuffix)) return std::nullopt;
  return key.substr(0, key.size() - kKeySuffix.size());
}

void ColdUpstreams::SetServices(
    const std::map<std::string, Service, std::less<>>& services) {
  this->rates.clear();
  this->unknown_service = {};
  for (const auto& [name, service] : services) {
    if (service.cold_per_second <= 0) continue;
    const Rate rate{this->bound.IssuedRate(service.cold_per_second),
                    service.cold_start};
    this->unknown_service.cold_start =
        std::max(this->unknown_service.cold_start, rate.cold_start);
    this->rates[name] = rate;
  }
  for (const auto& [instance, state] : this->cold) {
    if (this->RateOf(state) != nullptr) this->ApplyLimit(instance, state);
  }
  for (const auto& [instance, row] : std::exchange(this->unconfigured, {})) {
    const auto found = this->rates.find(row.service);
    if (found == this->rates.end()) {
      this->unconfigured[instance] = row;
      continue;
    }
    const Duration cold_start = found->second.cold_start;
    this->SetStart(instance, row.service, row.end - cold_start,
                   row.end - cold_start);
  }
}

const ColdUpstreams::Rate* ColdUpstreams::RateOf(const State& state) const {
  if (this->rates.empty()) return nullptr;
  if (state.service.empty()) return &this->unknown_service;
  const auto found = this->rates.find(state.service);
  return found == this->rates.end() ? nullptr : &found->second;
}

TimePoint ColdUpstreams::EndOf(const State& state) const {
  const Rate* rate = this->RateOf(state);
  return rate == nullptr ? TimePoint{}
                         : state.start + rate->cold_start + kMargin;
}

bool ColdUpstreams::OnRegistered(const UpstreamEntry& entry, TimePoint now) {
  return this->OnHealth(entry, entry.cold_left, now);
}

bool ColdUpstreams::OnHealth(const UpstreamEntry& entry, Duration cold_left,
                             TimePoint now) {
  if (cold_left <= Duration(0)) return false;
  const auto found = this->rates.find(entry.service);
  if (found == this->rates.end()) {
    this->unconfigured[entry.InstanceId()] = {entry.service, now + cold_left};
    return false;
  }
  return this->SetStart(entry.InstanceId(), entry.service,
                        now + cold_left - found->second.cold_start, now);
}

bool ColdUpstreams::SetStart(std::string_view instance,
                             std::string_view service, TimePoint start,
                             TimePoint now) {
  const auto found = this->cold.find(instance);
  const bool news = found == this->cold.end();
  State& state = news ? this->cold[std::string(instance)] : found->second;
  state.start = news ? start : std::max(state.start, start);
  if (!service.empty()) state.service = service;
  if (this->EndOf(state) <= now) {
    this->cold.erase(this->cold.find(instance));
    this->EndLimit(instance);
    return false;
  }
  this->ApplyLimit(instance, state);
  return news;
}

bool ColdUpstreams::OnPeerReport(std::string_view key, std::string_view service,
                                 TimePoint now) {
  const std::optional<std::string_view> instance = InstanceOf(key);
  const RateLimits::Announcement* latest = this->limits->Find(key);
  if (!instance || latest == nullptr) return false;
  const auto found = this->cold.find(*instance);
  const bool limited = latest->rate.kind == AnnouncedRate::Kind::kLimited;
  if (found == this->cold.end()) {
    return limited && this->SetStart(*instance, service, latest->at, now);
  }
  const bool later =
      limited && latest->at > found->second.start + kStartTolerance;
  return this->SetStart(*instance, service,
                        later ? latest->at : found->second.start, now);
}

void ColdUpstreams::ApplyLimit(std::string_view instance, const State& state) {
  const std::string key = PermitKey(instance);
  const RateLimits::Announcement* latest = this->limits->Find(key);
  AnnouncedRate rate{AnnouncedRate::Kind::kLimited,
                     this->RateOf(state)->issued};
  // Only peers know the rate of an instance whose service is not known here.
  if (state.service.empty() && latest != nullptr) {
    rate.per_second = latest->rate.per_second;
  }
  this->limits->OnAnswer(key, rate, state.start, state.start);
}

// The end is only just newer than the period's start: a later period is newer,
// even if this VM has heard late of the end of the one before.
void ColdUpstreams::EndLimit(std::string_view instance) {
  const std::string key = PermitKey(instance);
  if (!this->limits->IsLimited(key)) return;
  const TimePoint at = this->limits->Find(key)->at + kStep;
  this->limits->OnAnswer(key, {}, at, at);
}

std::vector<std::string> ColdUpstreams::Expire(TimePoint now) {
  std::erase_if(this->unconfigured,
                [now](const auto& entry) { return entry.second.end <= now; });
  std::vector<std::string> warm;
  for (auto it = this->cold.begin(); it != this->cold.end();) {
    const auto current = it++;
    if (now < this->EndOf(current->second)) continue;
    this->EndLimit(current->first);
    warm.push_back(current->first);
    this->cold.erase(current);
  }
  return warm;
}

ColdUpstreams::Use ColdUpstreams::UseOf(std::string_view instance,
                                        TimePoint now) const {
  const auto found = this->cold.find(instance);
  if (found == this->cold.end() || this->EndOf(found->second) <= now) {
    return Use::kWarm;
  }
  const bool closed = !found->second.service.empty() &&
                      this->RateOf(found->second)->issued <= 0;
  return closed ? Use::kNone : Use::kByPermit;
}

TimePoint ColdUpstreams::ColdUntil(std::string_view instance) const {
  const auto found = this->cold.find(instance);
  return found == this->cold.end() ? TimePoint{} : this->EndOf(found->second);
}

ColdUpstreams::Counts ColdUpstreams::TakeCounts() {
  return std::exchange(this->counts, {});
}

}  // namespace hornbeamspool::policy
