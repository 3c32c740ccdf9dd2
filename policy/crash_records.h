// The crash notices that a VM has sent lately. They are kept in the store for
// the VM's next process and for VMs that the datagrams do not reach.
#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "coordination/time.h"
#include "policy/crash_suspects.h"

namespace hornbeamspool::policy {

// All that was announced of one crash, and when that was last done.
struct CrashRecord {
  CrashNotice notice;
  coordination::TimePoint announced_at{};
};

class CrashRecords {
 public:
  // Merges the notice into the record of its instance.
  void Add(const CrashNotice& notice, coordination::TimePoint announced_at);
  // Drops records older than CrashSuspects::kSuspicionTimeout and returns the
  // others, the newest first, cut to what fits the VM's row.
  std::vector<CrashRecord> Current(coordination::TimePoint now);

 private:
  // Fingerprints in all records. With one instance for each, they take half
  // of the largest row of the store.
  static constexpr std::size_t kMaxFingerprints = 512;

  std::map<std::string, CrashRecord, std::less<>> records;  // by instance
};

}  // namespace hornbeamspool::policy
