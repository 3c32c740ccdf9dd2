#include "policy/poison_parts.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "coordination/rendezvous.h"
#include "policy/event.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using Kind = PoisonPartRecordKind;

// Crashes in succession that name a part: each of requests sent after the crash
// before it. Simultaneous crashes count once, since a cause of their own, such
// as a power loss, also takes down upstreams at the same time.
constexpr std::size_t kNamingRounds = 3;

// Records of a part with fewer crashes in succession reach the store only after
// this time. Most parts are cleared by then.
constexpr std::size_t kSuspiciousRounds = 2;
constexpr Duration kRowDelay = std::chrono::seconds(1);

// When a named part is tried: first some time after the last crash, and once
// more. Each trial may cost an upstream.
constexpr std::array<Duration, 2> kTrialDelays{std::chrono::seconds(5),
                                               std::chrono::seconds(30)};

// When a record is sent to the other VMs, since it was made.
constexpr std::array<Duration, 3> kAnnouncements{
    Duration(0), PoisonParts::kRepeatDelay, 3 * PoisonParts::kRepeatDelay};

// How long a part without crashes is kept, so that an older crash that is
// reported late does not count.
constexpr Duration kClearedRetention = std::chrono::seconds(10);

// The shortest interval between records that renew the refusal of a part.
constexpr Duration kRenewalInterval = PoisonParts::kTimeout / 4;

// Limits. The parts that the fewest recent answers hold count first.
constexpr std::size_t kMaxPartsPerCrash = 64;
constexpr std::size_t kMaxSuspects = 4096;
constexpr std::size_t kEvictionDivisor = 4;
constexpr std::size_t kMaxOwnRecords = 1024;
constexpr std::size_t kMaxRowRecords = 400;

}  // namespace

std::string PoisonParts::Change::Fields() const {
  std::string fields = KeyValue("outcome", this->named ? "named" : "cleared");
  fields += ' ' + KeyValue("part", Hex(this->part));
  if (!this->named) return fields;
  std::string upstreams;
  for (const std::string& instance_id : this->crashed) {
    if (!upstreams.empty()) upstreams += ',';
    upstreams += instance_id;
  }
  return fields + ' ' + KeyValue("upstreams", upstreams);
}

void PoisonParts::AddPart(std::vector<std::uint64_t>& parts,
                          std::uint64_t part) {
  if (part == kAnyPart || parts.size() >= kMaxPartsPerRequest) return;
  if (std::find(parts.begin(), parts.end(), part) != parts.end()) return;
  parts.push_back(part);
}

void PoisonParts::SetPeers(std::vector<std::string> vms) {
  std::sort(vms.begin(), vms.end());
  const bool any_new = !std::includes(this->peers.begin(), this->peers.end(),
                                      vms.begin(), vms.end());
  this->peers = std::move(vms);
  if (!any_new) return;
  for (OwnRecord& entry : this->own) {
    if (this->named.contains(entry.record.part)) entry.announcements = 0;
  }
}

void PoisonParts::OnSent(std::span<const std::uint64_t> parts,
                         std::string_view instance_id, TimePoint now) {
  for (const std::uint64_t part : parts) {
    this->sends.OnSent({part, now}, instance_id);
    if (!this->named.contains(part)) continue;
    const std::int64_t ms = coordination::Milliseconds(now.time_since_epoch());
    this->AddOwn(
        {Kind::kTried, part, this->vm + '@' + std::to_string(ms), {}, now});
  }
}

bool PoisonParts::OnAnswerBegun(std::span<const std::uint64_t> parts,
                                std::string_view instance_id, TimePoint sent_at,
                                TimePoint now) {
  this->popularity.OnAnswered(parts, now);
  this->answer_begun_at = now;
  bool urgent = false;
  bool news = this->awaits_answer;
  for (const std::uint64_t part : parts) {
    this->sends.OnEnded({part, sent_at}, instance_id);
    this->sends.EraseIncomplete(
        [part](const Send& send) { return send.part == part; });
    const auto found = this->suspects.find(part);
    if (found == this->suspects.end() || found->second.crashes.empty()) {
      continue;
    }
    urgent = urgent || found->second.rounds >= kSuspiciousRounds;
    news = this->AddOwn({Kind::kAnswered, part, {}, {}, now}) || news;
  }
  if (news) this->NameParts(now);
  return urgent;
}

void PoisonParts::OnEndedUnanswered(std::span<const std::uint64_t> parts,
                                    std::string_view instance_id,
                                    TimePoint sent_at, bool may_have_run,
                                    TimePoint now) {
  for (const std::uint64_t part : parts) {
    const Send send{part, sent_at};
    this->sends.OnEnded(send, instance_id);
    if (!may_have_run) continue;
    this->sends.OnIncompleteAnswer(send, instance_id, now);
  }
}

void PoisonParts::OnCrash(std::string_view instance_id, TimePoint now) {
  std::map<std::uint64_t, TimePoint> affected;  // the latest send of each part
  for (const Send& send : this->sends.TakeAffected(instance_id, now)) {
    TimePoint& sent_at = affected.try_emplace(send.part, send.at).first->second;
    sent_at = std::max(sent_at, send.at);
  }
  std::vector<std::pair<double, std::uint64_t>> parts;  // by popularity
  parts.reserve(affected.size());
  for (const auto& [part, sent_at] : affected) {
    parts.emplace_back(this->popularity.ShareOf(part), part);
  }
  std::sort(parts.begin(), parts.end());
  if (parts.size() > kMaxPartsPerCrash) parts.resize(kMaxPartsPerCrash);
  for (const auto& [share, part] : parts) {
    this->AddOwn({Kind::kCrashed, part, std::string(instance_id),
                  now - affected[part], now});
  }
  this->NameParts(now);
}

// Applies a record of this VM, and announces it if it is news. Returns whether
// it is.
bool PoisonParts::AddOwn(PoisonPartRecord record) {
  if (!this->Merge(record)) return false;
  // Only the latest of these matters.
  if (record.kind == Kind::kAnswered || record.kind == Kind::kRefused) {
    std::erase_if(this->own, [&](const OwnRecord& other) {
      return other.record.kind == record.kind &&
             other.record.part == record.part;
    });
  }
  if (this->own.size() >= kMaxOwnRecords) this->own.erase(this->own.begin());
  this->own.push_back({std::move(record), 0});
  return true;
}

void PoisonParts::Apply(std::span<const PoisonPartRecord> records,
                        TimePoint now) {
  bool news = false;
  for (const PoisonPartRecord& record : records) {
    news = this->Merge(record) || news;
  }
  if (news) this->NameParts(now);
}

void PoisonParts::Adopt(std::span<const PoisonPartRecord> records,
                        TimePoint now) {
  for (const PoisonPartRecord& record : records) {
    if (!this->Merge(record) || record.part == kAnyPart) continue;
    this->own.push_back({record, kAnnouncements.size()});
  }
  this->NameParts(now);
}

std::size_t PoisonParts::SuspectedCount() const {
  return static_cast<std::size_t>(std::count_if(
      this->suspects.begin(), this->suspects.end(),
      [](const auto& entry) { return !entry.second.crashes.empty(); }));
}

PoisonParts::Suspect& PoisonParts::SuspectOf(std::uint64_t part) {
  const auto found = this->suspects.find(part);
  if (found != this->suspects.end()) return found->second;
  if (this->suspects.size() >= kMaxSuspects) this->EvictSuspects();
  return this->suspects[part];
}

// Returns whether the record is news.
bool PoisonParts::Merge(const PoisonPartRecord& record) {
  if (record.kind == Kind::kAnswered) {
    this->answer_begun_at = std::max(this->answer_begun_at, record.at);
    if (record.part == kAnyPart) return true;
  }
  Suspect& suspect = this->SuspectOf(record.part);
  switch (record.kind) {
    case Kind::kCrashed:
      return this->MergeCrash(suspect, record);
    case Kind::kAnswered:
      if (record.at <= suspect.answered_at) return false;
      suspect.answered_at = record.at;
      std::erase_if(suspect.crashes, [&](const auto& crash) {
        return crash.second.at <= record.at;
      });
      suspect.rounds = RoundsOf(suspect, {});
      return true;
    case Kind::kTried:
      suspect.tried_at = std::max(suspect.tried_at, record.at);
      suspect.last_seen = std::max(suspect.last_seen, record.at);
      return suspect.trials.insert(record.subject).second;
    case Kind::kRefused:
      if (record.at <= suspect.announced_at) return false;
      suspect.announced_at = record.at;
      suspect.last_seen = std::max(suspect.last_seen, record.at);
      return true;
    default:
      return false;
  }
}

bool PoisonParts::MergeCrash(Suspect& suspect, const PoisonPartRecord& record) {
  if (record.at <= suspect.answered_at) return false;
  const TimePoint sent_at = record.at - record.in_flight;
  const auto [crash, is_new] =
      suspect.crashes.try_emplace(record.subject, Crash{sent_at, record.at});
  if (!is_new && sent_at <= crash->second.sent_at) return false;
  crash->second.sent_at = sent_at;
  crash->second.at = std::min(crash->second.at, record.at);
  suspect.last_seen = std::max(suspect.last_seen, record.at);
  suspect.announced_at = std::max(suspect.announced_at, record.at);
  suspect.rounds = RoundsOf(suspect, {});
  return true;
}

// The number of crashes in succession: each is of a request that was sent after
// the crash before. Leaves out the explained instances.
std::size_t PoisonParts::RoundsOf(const Suspect& suspect,
                                  const std::set<std::string_view>& explained) {
  std::vector<Crash> crashes;
  for (const auto& [instance_id, crash] : suspect.crashes) {
    if (!explained.contains(instance_id)) crashes.push_back(crash);
  }
  std::sort(crashes.begin(), crashes.end(),
            [](const Crash& a, const Crash& b) { return a.at < b.at; });
  std::size_t rounds = 0;
  TimePoint last{};
  for (const Crash& crash : crashes) {
    if (rounds > 0 && crash.sent_at <= last) continue;
    ++rounds;
    last = crash.at;
  }
  return rounds;
}

// Chooses the named parts anew: those that explain the most crashes first,
// where a crash says less about a part the more requests hold it. Parts whose
// crashes are explained by a chosen one are left out; parts that explain the
// same crashes equally well are all chosen, and trials tell them apart.
void PoisonParts::NameParts(TimePoint now) {
  const auto crashed_first = [](const Suspect& suspect) {
    TimePoint first = TimePoint::max();
    for (const auto& [instance_id, crash] : suspect.crashes) {
      first = std::min(first, crash.at);
    }
    return first;
  };
  struct Candidate {
    std::uint64_t part = 0;
    const Suspect* suspect = nullptr;
    double weight = 0;
  };
  // Step 1: the candidates. While no upstream answers at all, their crashes
  // say nothing about a part.
  std::vector<Candidate> candidates;
  this->awaits_answer = false;
  for (const auto& [part, suspect] : this->suspects) {
    if (suspect.rounds < kNamingRounds) continue;
    if (this->answer_begun_at <= crashed_first(suspect)) {
      this->awaits_answer = true;
      continue;
    }
    constexpr double kMinWeight = 0.1;
    const double weight = kMinWeight - std::log(this->popularity.ShareOf(part));
    candidates.push_back({part, &suspect, weight});
  }

  // Step 2: choose.
  std::map<std::uint64_t, TimePoint> chosen;
  std::set<std::string_view> explained;
  while (!candidates.empty()) {
    double best_score = 0;
    std::vector<const Candidate*> best;
    for (const Candidate& candidate : candidates) {
      if (RoundsOf(*candidate.suspect, explained) < kNamingRounds) continue;
      std::size_t unexplained = 0;
      for (const auto& [instance_id, crash] : candidate.suspect->crashes) {
        if (!explained.contains(instance_id)) ++unexplained;
      }
      const double score = candidate.weight * static_cast<double>(unexplained);
      if (score < best_score) continue;
      if (score > best_score) best.clear();
      best_score = score;
      best.push_back(&candidate);
    }
    if (best.empty()) break;
    for (const Candidate* candidate : best) {
      const auto before = this->named.find(candidate->part);
      chosen[candidate->part] =
          before == this->named.end() ? now : before->second;
    }
    for (const Candidate* candidate : best) {
      for (const auto& [instance_id, crash] : candidate->suspect->crashes) {
        explained.insert(instance_id);
      }
    }
  }

  // Step 3: report what changed.
  for (const auto& [part, since] : chosen) {
    if (this->named.contains(part)) continue;
    Change change{part, true};
    for (const auto& [instance_id, crash] : this->suspects[part].crashes) {
      change.crashed.push_back(instance_id);
    }
    this->changes.push_back(std::move(change));
  }
  for (const auto& [part, since] : this->named) {
    if (!chosen.contains(part)) this->changes.push_back({part, false});
  }
  this->named = std::move(chosen);
}

void PoisonParts::Expire(TimePoint now) {
  std::erase_if(this->suspects, [now](const auto& entry) {
    const Suspect& suspect = entry.second;
    if (suspect.crashes.empty() &&
        now - suspect.answered_at >= kClearedRetention) {
      return true;
    }
    return now - std::max(suspect.last_seen, suspect.answered_at) >= kTimeout;
  });
  std::erase_if(this->own, [&](const OwnRecord& entry) {
    return this->Find(entry.record.part) == nullptr ||
           this->IsCleared(entry.record);
  });
  const bool forgotten = std::any_of(
      this->named.begin(), this->named.end(),
      [&](const auto& e) { return !this->suspects.contains(e.first); });
  if (forgotten) this->NameParts(now);
}

std::optional<std::uint64_t> PoisonParts::NamedPart(
    std::span<const std::uint64_t> parts) const {
  for (const std::uint64_t part : parts) {
    if (this->named.contains(part)) return part;
  }
  return std::nullopt;
}

bool PoisonParts::MaySend(std::span<const std::uint64_t> parts,
                          TimePoint now) const {
  if (this->named.empty()) return true;
  std::optional<std::uint64_t> tried;
  for (const std::uint64_t part : parts) {
    if (!this->named.contains(part)) continue;
    // A crash of a request with two named parts would not tell them apart.
    if (tried) return false;
    tried = part;
  }
  return !tried || this->MayTry(*tried, now);
}

// One VM of the fleet may try the part, so that a trial costs one upstream.
bool PoisonParts::MayTry(std::uint64_t part, TimePoint now) const {
  const Suspect& suspect = this->suspects.at(part);
  const std::size_t trial = suspect.trials.size();
  if (trial >= kTrialDelays.size()) return false;
  TimePoint since = std::max(this->named.at(part), suspect.tried_at);
  for (const auto& [instance_id, crash] : suspect.crashes) {
    since = std::max(since, crash.at);
  }
  if (now - since < kTrialDelays.at(trial)) return false;
  std::vector<std::string_view> members(this->peers.begin(), this->peers.end());
  members.emplace_back(this->vm);
  const std::string key = std::to_string(part) + '#' + std::to_string(trial);
  const auto owner = coordination::RendezvousOwner(key, members);
  return owner && members.at(*owner) == this->vm;
}

void PoisonParts::OnRefused(std::span<const std::uint64_t> parts,
                            TimePoint now) {
  for (const std::uint64_t part : parts) {
    if (!this->named.contains(part)) continue;
    Suspect& suspect = this->suspects.at(part);
    suspect.last_seen = now;
    if (now - suspect.announced_at < kRenewalInterval) continue;
    this->AddOwn({Kind::kRefused, part, {}, {}, now});
  }
}

const PoisonParts::Suspect* PoisonParts::Find(std::uint64_t part) const {
  const auto found = this->suspects.find(part);
  return found == this->suspects.end() ? nullptr : &found->second;
}

bool PoisonParts::IsCleared(const PoisonPartRecord& record) const {
  if (record.kind != Kind::kCrashed) return false;
  const Suspect* suspect = this->Find(record.part);
  return suspect == nullptr || !suspect->crashes.contains(record.subject);
}

// Lets VMs that saw no answer themselves name a part.
void PoisonParts::AddLatestAnswer(
    std::vector<PoisonPartRecord>& records) const {
  if (records.empty()) return;
  records.push_back({Kind::kAnswered, kAnyPart, {}, {}, this->answer_begun_at});
}

std::vector<PoisonPartRecord> PoisonParts::TakeRecords(TimePoint now) {
  std::vector<PoisonPartRecord> records;
  for (OwnRecord& entry : this->own) {
    const PoisonPartRecord& record = entry.record;
    if (entry.announcements >= kAnnouncements.size()) continue;
    if (now - record.at < kAnnouncements.at(entry.announcements)) continue;
    ++entry.announcements;
    if (!this->IsCleared(record)) records.push_back(record);
  }
  this->AddLatestAnswer(records);
  return records;
}

std::vector<PoisonPartRecord> PoisonParts::RowRecords(TimePoint now) const {
  std::vector<PoisonPartRecord> records;
  for (const OwnRecord& entry : this->own) {
    const PoisonPartRecord& record = entry.record;
    const Suspect* suspect = this->Find(record.part);
    if (suspect == nullptr || this->IsCleared(record)) continue;
    const bool waits = record.kind == Kind::kCrashed &&
                       suspect->rounds < kSuspiciousRounds &&
                       now - record.at < kRowDelay;
    if (!waits) records.push_back(record);
  }
  if (records.size() > kMaxRowRecords) {
    // A named part's records first, then the latest.
    std::stable_partition(records.begin(), records.end(),
                          [this](const PoisonPartRecord& record) {
                            return !this->named.contains(record.part);
                          });
    records.erase(records.begin(),
                  records.end() - static_cast<std::ptrdiff_t>(kMaxRowRecords));
  }
  this->AddLatestAnswer(records);
  return records;
}

// Evicts the parts with the fewest crashes; among equals, the least recently
// seen. Named parts stay.
void PoisonParts::EvictSuspects() {
  std::vector<std::uint64_t> parts;
  for (const auto& [part, suspect] : this->suspects) {
    if (!this->named.contains(part)) parts.push_back(part);
  }
  const std::size_t evicted =
      std::min(parts.size(), kMaxSuspects / kEvictionDivisor);
  const auto evicted_first = [this](std::uint64_t a, std::uint64_t b) {
    const Suspect& first = this->suspects.at(a);
    const Suspect& second = this->suspects.at(b);
    if (first.crashes.size() != second.crashes.size()) {
      return first.crashes.size() < second.crashes.size();
    }
    return first.last_seen < second.last_seen;
  };
  const auto end = parts.begin() + static_cast<std::ptrdiff_t>(evicted);
  std::partial_sort(parts.begin(), end, parts.end(), evicted_first);
  for (auto part = parts.begin(); part != end; ++part) {
    this->suspects.erase(*part);
  }
}

}  // namespace hornbeamspool::policy
