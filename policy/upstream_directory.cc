#include "policy/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hornbeamspool::policy {

void UpstreamDirectory::Put(UpstreamEntry entry) {
  std::string id = entry.id;
  this->entries[std::move(id)] = TrackedEntry{std::move(entry), false};
}

bool UpstreamDirectory::RemovalIsUncertain(coordination::TimePoint now) const {
  return !this->reachable || (this->reconnected_at &&
                              now - *this->reconnected_at < kReconnectGrace);
}

coordination::TimePoint UpstreamDirectory::ExpiryOf(
    coordination::TimePoint now) const {
  if (!this->reachable || !this->reconnected_at) return now + kReconnectGrace;
  const coordination::TimePoint grace_ends =
      *this->reconnected_at + kReconnectGrace;
  if (now - *this->reconnected_at <= kQueuedUpdates) return grace_ends;
  return std::min(grace_ends, now + kLateRemovalGrace);
}

void UpstreamDirectory::Drop(
    std::map<std::string, TrackedEntry, std::less<>>::iterator found,
    coordination::TimePoint now) {
  // A draining upstream is shutting down and will not register anew.
  if (this->RemovalIsUncertain(now) && !found->second.entry.draining) {
    if (found->second.removed) return;
    found->second.removed = true;
    found->second.expires_at = this->ExpiryOf(now);
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
    const auto current = it++;
    if (!present.contains(current->first)) this->Drop(current, now);
  }
}

void UpstreamDirectory::SetReachable(bool reachable,
                                     coordination::TimePoint now) {
  if (reachable && !this->reachable) this->reconnected_at = now;
  this->reachable = reachable;
}

std::vector<UpstreamEntry> UpstreamDirectory::Expire(
    coordination::TimePoint now) {
  std::vector<UpstreamEntry> expired;
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    const auto current = it++;
    if (!current->second.removed || now < current->second.expires_at) continue;
    expired.push_back(std::move(current->second.entry));
    this->entries.erase(current);
  }
  return expired;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::Usable(
    std::string_view service, coordination::TimePoint now) const {
  std::vector<const UpstreamEntry*> usable;
  for (const auto& [id, tracked] : this->entries) {
    if (tracked.entry.service != service || tracked.entry.draining) continue;
    if (tracked.removed && now >= tracked.expires_at) continue;
    if (this->evacuated.contains(tracked.entry.availability_zone)) continue;
    usable.push_back(&tracked.entry);
  }
  return usable;
}

std::vector<const UpstreamEntry*> UpstreamDirectory::All() const {
  std::vector<const UpstreamEntry*> all;
  for (const auto& [id, tracked] : this->entries) all.push_back(&tracked.entry);
  return all;
}

const UpstreamEntry* UpstreamDirectory::Find(std::string_view id) const {
  const auto found = this->entries.find(id);
  return found == this->entries.end() ? nullptr : &found->second.entry;
}

}  // namespace hornbeamspool::policy
