#include "policy/upstream_directory.h"

#include <algorithm>
#include <set>
#include <utility>

namespace hornbeamspool::policy {

void UpstreamDirectory::Put(UpstreamEntry entry) {
  this->left.erase(entry.InstanceId());
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
  this->RememberLeft(found->second.entry, now);
  this->entries.erase(found);
}

void UpstreamDirectory::RememberLeft(const UpstreamEntry& entry,
                                     coordination::TimePoint now) {
  std::erase_if(this->left, [now](const auto& instance) {
    return now - instance.second >= kLeftMemory;
  });
  this->left[entry.InstanceId()] = now;
}

bool UpstreamDirectory::IsOutdated(const UpstreamEntry& entry) const {
  if (this->left.contains(entry.InstanceId())) return true;
  const auto found = this->entries.find(entry.id);
  if (found == this->entries.end()) return false;
  const UpstreamEntry& known = found->second.entry;
  const bool same = known.InstanceId() == entry.InstanceId();
  return same ? known.draining && !entry.draining
              : entry.start_time_ms <= known.start_time_ms;
}

void UpstreamDirectory::Merge(const std::vector<UpstreamEntry>& entries,
                              coordination::TimePoint now) {
  this->restored_at = now;
  for (const UpstreamEntry& entry : entries) {
    const auto found = this->entries.find(entry.id);
    const bool listed = found != this->entries.end() && !found->second.removed;
    // A listed upstream writes what else has changed with its next heartbeat.
    if (this->IsOutdated(entry) || (listed && !entry.draining)) continue;
    this->Put(entry);
  }
}

void UpstreamDirectory::Remove(std::string_view id,
                               coordination::TimePoint now) {
  const auto found = this->entries.find(id);
  if (found != this->entries.end()) this->Drop(found, now);
}

void UpstreamDirectory::Replace(std::vector<UpstreamEntry> entries,
                                coordination::TimePoint now) {
  std::set<std::string, std::less<>> present;
  const bool restored =
      this->restored_at && now - *this->restored_at < kRestoreMemory;
  for (UpstreamEntry& entry : entries) {
    present.insert(entry.id);
    if (restored && this->IsOutdated(entry)) continue;
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
    this->RememberLeft(current->second.entry, now);
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
