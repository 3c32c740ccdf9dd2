// The upstreams of every service, as their registry tells. Entries that lapse
// while the registry's store is away are kept for a while after its return:
// their upstreams live, and register again.
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
  std::string id;  // one start of the upstream; mostly new at each start
  std::string service;
  std::string address;  // ip:port
  std::string availability_zone;
  std::string version;  // of its software
  std::int64_t slots = 1;
  std::int64_t start_time_ms = 0;  // Unix time of its start; 0 when not told
  bool draining = false;

  // Names this start: an upstream may start again under its id.
  std::string InstanceId() const {
    return this->start_time_ms == 0
               ? this->id
               : this->id + '@' + std::to_string(this->start_time_ms);
  }
};

class UpstreamDirectory {
 public:
  // How long a missing entry is kept after the store's return: entries of live
  // upstreams are back within about 2 s.
  static constexpr coordination::Duration kReturnGrace =
      std::chrono::milliseconds(2100);

  // How long one is kept whose removal comes in that time, but was not among
  // the first news after the return: its upstream may be leaving, and gets
  // nothing more within 2 s of that.
  static constexpr coordination::Duration kLateRemoval =
      std::chrono::milliseconds(1400);

  // An entry was written. Ends any doubt about it.
  void Put(UpstreamEntry entry);

  // An entry was removed, or can't be read any more.
  void Remove(std::string_view id, coordination::TimePoint now);

  // All entries that there are, read at one moment: what is missing is removed.
  void Replace(std::vector<UpstreamEntry> entries, coordination::TimePoint now);

  // Zones that the operator has ordered to be emptied: their upstreams get no
  // new work. All of them, in place of those before.
  void SetEvacuatedZones(std::set<std::string, std::less<>> zones) {
    this->evacuated = std::move(zones);
  }
  const std::set<std::string, std::less<>>& EvacuatedZones() const {
    return this->evacuated;
  }

  // The registry stopped or began to answer.
  void SetReachable(bool reachable, coordination::TimePoint now);

  // Whether entries that go now may be of upstreams that live: the registry is
  // away, or has just come back.
  bool RemovalIsUncertain(coordination::TimePoint now) const;

  // Forgets entries whose grace has passed, and returns them.
  std::vector<UpstreamEntry> Expire(coordination::TimePoint now);

  // Upstreams of a service that may get new work.
  std::vector<const UpstreamEntry*> Usable(std::string_view service,
                                           coordination::TimePoint now) const;
  const UpstreamEntry* Find(std::string_view id) const;
  // All that are not known to be gone.
  std::vector<const UpstreamEntry*> All() const;
  std::size_t Size() const { return this->entries.size(); }

 private:
  struct Kept {
    UpstreamEntry entry;
    bool missing = false;               // lapsed while the store was away
    coordination::TimePoint drop_at{};  // of a missing one
  };

  // News that comes this soon after the return was waiting for it.
  static constexpr coordination::Duration kFirstNews =
      std::chrono::milliseconds(100);

  coordination::TimePoint DropTime(coordination::TimePoint now) const;
  void Drop(std::map<std::string, Kept, std::less<>>::iterator found,
            coordination::TimePoint now);

  std::map<std::string, Kept, std::less<>> entries;
  std::set<std::string, std::less<>> evacuated;
  bool reachable = false;
  std::optional<coordination::TimePoint> returned_at;
};

}  // namespace hornbeamspool::policy
