#include "policy/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hornbeamspool::policy {

void UpstreamDirectory::Put(UpstreamEntry entry) {
  std::string id = entry.id;
  this->entries[std::move(id)] = Kept{std::move(entry), false};
}

bool UpstreamDirectory::RemovalIsUncertain(coordination::TimePoint now) const {
  return !this->reachable ||
         (this->returned_at && now - *this->returned_at < kReturnGrace);
}

coordination::TimePoint UpstreamDirectory::DropTime(
    coordination::TimePoint now) const {
  if (!this->reachable || !this->returned_at) return now + kReturnGrace;
  const coordination::TimePoint grace_ends = *this->returned_at + kReturnGrace;
  if (now - *this->returned_at <= kFirstNews) return grace_ends;
  return std::min(grace_ends, now + kLateRemoval);
}

void UpstreamDirectory::Drop(
    std::map<std::string, Kept, std::less<>>::iterator found,
    coordination::TimePoint now) {
  // An upstream that had said it leaves is not expected back.
  if (this->RemovalIsUncertain(now) && !found->second.entry.draining) {
    if (found->second.missing) return;
    found->second.missing = true;
    found->second.drop_at = this->DropTime(now);
    return;
  }
  this->entries.erase(found);
}

void UpstreamDirectory::Remove(std::string_view id,
                               coordination::TimePoint now) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) this->Drop(found, now);
}

void UpstreamDirectory::Replace(std::vector<UpstreamEntry> entries,
                                coordination::TimePoint now) {
  std::set<std::string, std::less<>> present;
  for (UpstreamEntry& entry : entries) {
    present.insert(entry.id);
    this->Put(std::move(entry));
  }
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const auto here = it++;
    if (!present.contains(here->first)) this->Drop(here, now);
  }
}

void UpstreamDirectory::SetReachable(bool reachable,
                                     coordination::TimePoint now) {
  if (reachable && !this->reachable) this->returned_at = now;
  this->reachable = reachable;
}

std::vector<UpstreamEntry> UpstreamDirectory::Expire(
    coordination::TimePoint now) {
  std::vector<UpstreamEntry> gone;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const auto here = it++;
    if (!here->second.missing || now < here->second.drop_at) continue;
    gone.push_back(std::move(here->second.entry));
    this->entries.erase(here);
  }
  return gone;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::Usable(
    std::string_view service, coordination::TimePoint now) const {
  std::vector<const UpstreamEntry*> usable;
  for (const auto& [id, kept] : this->entries) {
    if (kept.entry.service != service || kept.entry.draining) continue;
    if (kept.missing && now >= kept.drop_at) continue;
    if (this->evacuated.contains(kept.entry.availability_zone)) continue;
    usable.push_back(&kept.entry);
  }
  return usable;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::All() const {
  std::vector<const UpstreamEntry*> all;
  for (const auto& [id, kept] : this->entries) all.push_back(&kept.entry);
  return all;
}

const UpstreamEntry* UpstreamDirectory::Find(std::string_view id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.entry;
}

}  // namespace hornbeamspool::policy
