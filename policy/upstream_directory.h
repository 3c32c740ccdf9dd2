// The upstreams of all services: this VM's copy of the registry in the store.
// While the store is unreachable, live upstreams can't renew their registration
// and their entries lapse. An entry whose removal is seen during an outage or
// just after it is kept for a grace period, in which its upstream can register
// anew.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct UpstreamEntry {
  std::string id;  // usually differs for each start of the process
  std::string service;
  std::string address;  // ip:port
  std::string availability_zone;
  std::string version;  // of its software
  std::int64_t slots = 1;
  std::int64_t start_time_ms = 0;  // Unix time; 0 when not registered
  bool draining = false;
  coordination::Duration cold_left{};  // when the row was written; 0: warm

  // Identifies one run of the upstream's process, which may restart under the
  // same id.
  std::string InstanceId() const {
    return this->start_time_ms == 0
               ? this->id
               : this->id + '@' + std::to_string(this->start_time_ms);
  }
};

class UpstreamDirectory {
 public:
  // How long a removed entry is kept once the store is reachable again: live
  // upstreams register anew within about 2 s.
  static constexpr coordination::Duration kReconnectGrace =
      std::chrono::milliseconds(2100);

  // How long an entry is kept that is removed within the grace period, but not
  // by the first updates after the reconnect. Its upstream may be shutting down
  // and must get no new work 2 s later.
  static constexpr coordination::Duration kLateRemovalGrace =
      std::chrono::milliseconds(1400);

  // How long a restored registry may hold entries of upstreams that have left:
  // an entry lapses after three missed heartbeats.
  static constexpr coordination::Duration kRestoreMemory =
      std::chrono::seconds(30);

  // Adds or updates an entry; ends its grace period.
  void Put(UpstreamEntry entry);

  // Handles an entry that was removed from the registry, or is unreadable.
  void Remove(std::string_view id, coordination::TimePoint now);

  // Replaces all entries by a snapshot of the registry; entries that it lacks
  // are handled as by Remove.
  void Replace(std::vector<UpstreamEntry> entries, coordination::TimePoint now);

  // Adds the entries of a registry that was restored from an older copy. Some
  // are older than what is known: an instance that was seen draining or leaving
  // gets no new work, until it writes its entry itself and Put is called. For
  // kRestoreMemory the same holds for Replace.
  void Merge(const std::vector<UpstreamEntry>& entries,
             coordination::TimePoint now);

  // Replaces the set of availability zones that the operator evacuates: their
  // upstreams get no new work.
  void SetEvacuatedZones(std::set<std::string, std::less<>> zones) {
    this->evacuated = std::move(zones);
  }
  const std::set<std::string, std::less<>>& EvacuatedZones() const {
    return this->evacuated;
  }

  // Reports whether the registry's store answers.
  void SetReachable(bool reachable, coordination::TimePoint now);

  // Whether an entry removed now may belong to a live upstream: the store is
  // unreachable, or its grace period has not passed.
  bool RemovalIsUncertain(coordination::TimePoint now) const;

  // Deletes the entries whose grace period has passed, and returns them.
  std::vector<UpstreamEntry> Expire(coordination::TimePoint now);

  // Upstreams of a service that may get new work: not draining, not in an
  // evacuated zone. Includes those in their grace period.
  std::vector<const UpstreamEntry*> Usable(std::string_view service,
                                           coordination::TimePoint now) const;
  // Null when the id is unknown.
  const UpstreamEntry* Find(std::string_view id) const;
  // All entries, including those in their grace period.
  std::vector<const UpstreamEntry*> All() const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct TrackedEntry {
    UpstreamEntry entry;
    bool removed = false;                  // and in its grace period
    coordination::TimePoint expires_at{};  // of a removed entry
  };

  // Updates that arrive this soon after a reconnect were queued during the
  // outage.
  static constexpr coordination::Duration kQueuedUpdates =
      std::chrono::milliseconds(100);

  // How long instances that have left are remembered.
  static constexpr coordination::Duration kLeftMemory = std::chrono::minutes(2);

  // Whether the instance of a restored entry is known to drain or to have left.
  bool IsOutdated(const UpstreamEntry& entry) const;
  void RememberLeft(const UpstreamEntry& entry, coordination::TimePoint now);
  // When the grace period of an entry that is removed now ends.
  coordination::TimePoint ExpiryOf(coordination::TimePoint now) const;
  // Deletes an entry, or starts its grace period.
  void Drop(std::map<std::string, TrackedEntry, std::less<>>::iterator found,
            coordination::TimePoint now);

  std::map<std::string, TrackedEntry, std::less<>> entries;
  // Instances that have left, and when.
  std::map<std::string, coordination::TimePoint, std::less<>> left;
  std::set<std::string, std::less<>> evacuated;
  bool reachable = false;
  std::optional<coordination::TimePoint> reconnected_at;
  std::optional<coordination::TimePoint> restored_at;
};

}  // namespace hornbeamspool::policy
