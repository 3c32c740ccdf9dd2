// What a VM has told of crashes lately, to be kept for its successor and for
// VMs that its notices do not reach.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "coordination/time.h"
#include "policy/crash_suspects.h"

namespace hornbeamspool::policy {

// A notice and when it was last told.
struct CrashRecord {
  CrashNotice notice;
  coordination::TimePoint told_at{};
};

class CrashRecords {
 public:
  void Add(const CrashNotice& notice, coordination::TimePoint told_at);
  // The records that are young enough to matter, the latest first, as many as
  // there is room for.
  std::vector<CrashRecord> Current(coordination::TimePoint now);

 private:
  // Requests in all records: with as many starts, half of what a row of the
  // store holds.
  static constexpr std::size_t kMostKept = 512;

  std::map<std::string, CrashRecord, std::less<>> records;  // by start
};

}  // namespace hornbeamspool::policy
