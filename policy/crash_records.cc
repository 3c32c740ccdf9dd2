#include "policy/crash_records.h"

#include <algorithm>

namespace hornbeamspool::policy {

void CrashRecords::Add(const CrashNotice& notice,
                       coordination::TimePoint announced_at) {
  CrashRecord& record = this->records[notice.instance_id];
  record.notice.instance_id = notice.instance_id;
  record.announced_at = std::max(record.announced_at, announced_at);
  std::vector<std::uint64_t>& fingerprints = record.notice.fingerprints;
  fingerprints.insert(fingerprints.end(), notice.fingerprints.begin(),
                      notice.fingerprints.end());
  std::sort(fingerprints.begin(), fingerprints.end());
  fingerprints.erase(std::unique(fingerprints.begin(), fingerprints.end()),
                     fingerprints.end());
}

std::vector<CrashRecord> CrashRecords::Current(coordination::TimePoint now) {
  std::erase_if(this->records, [now](const auto& entry) {
    return now - entry.second.announced_at >= CrashSuspects::kSuspicionTimeout;
  });
  std::vector<CrashRecord> current;
  for (const auto& [instance_id, record] : this->records) {
    current.push_back(record);
  }
  std::sort(current.begin(), current.end(),
            [](const CrashRecord& a, const CrashRecord& b) {
              return a.announced_at > b.announced_at;
            });
  std::size_t room = kMaxFingerprints;
  for (CrashRecord& record : current) {
    std::vector<std::uint64_t>& fingerprints = record.notice.fingerprints;
    if (fingerprints.size() > room) fingerprints.resize(room);
    room -= fingerprints.size();
  }
  std::erase_if(current, [](const CrashRecord& record) {
    return record.notice.fingerprints.empty();
  });
  return current;
}

}  // namespace hornbeamspool::policy
