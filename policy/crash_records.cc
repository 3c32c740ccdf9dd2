#include "policy/crash_records.h"

#include <algorithm>

namespace hornbeamspool::policy {

void CrashRecords::Add(const CrashNotice& notice,
                       coordination::TimePoint told_at) {
  CrashRecord& record = this->records[notice.start];
  record.notice.start = notice.start;
  record.told_at = std::max(record.told_at, told_at);
  std::vector<std::uint64_t>& kept = record.notice.fingerprints;
  kept.insert(kept.end(), notice.fingerprints.begin(),
              notice.fingerprints.end());
  std::sort(kept.begin(), kept.end());
  kept.erase(std::unique(kept.begin(), kept.end()), kept.end());
}

std::vector<CrashRecord> CrashRecords::Current(coordination::TimePoint now) {
  std::erase_if(this->records, [now](const auto& entry) {
    return now - entry.second.told_at >= CrashSuspects::kMemory;
  });
  std::vector<CrashRecord> current;
  for (const auto& [start, record] : this->records) current.push_back(record);
  std::sort(current.begin(), current.end(),
            [](const CrashRecord& a, const CrashRecord& b) {
              return a.told_at > b.told_at;
            });
  std::size_t room = kMostKept;
  for (CrashRecord& record : current) {
    std::vector<std::uint64_t>& kept = record.notice.fingerprints;
    if (kept.size() > room) kept.resize(room);
    room -= kept.size();
  }
  std::erase_if(current, [](const CrashRecord& record) {
    return record.notice.fingerprints.empty();
  });
  return current;
}

}  // namespace hornbeamspool::policy
