// Finds the crash records of other VMs that have not been read before.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamspool::policy {

class SeenCrashRecords {
 public:
  // Returns true, and marks the record as read, when it was announced later or
  // holds more requests than the last one read from this VM for this
  // instance of an upstream. Each VM has its own record of a crash, since each
  // had its own requests in flight there.
  bool MarkIfNew(std::string_view vm, std::string_view instance_id,
                 std::int64_t announced_ms, std::size_t requests) {
    Seen& last = this->seen[{std::string(vm), std::string(instance_id)}];
    if (announced_ms <= last.announced_ms && requests <= last.requests) {
      return false;
    }
    last = {announced_ms, requests};
    return true;
  }
  // Forgets records that were announced before this time of the store's clock.
  void ExpireBefore(std::int64_t before_ms) {
    std::erase_if(this->seen, [before_ms](const auto& entry) {
      return entry.second.announced_ms < before_ms;
    });
  }

 private:
  struct Seen {
    std::int64_t announced_ms = 0;
    std::size_t requests = 0;
  };

  // By VM and instance.
  std::map<std::pair<std::string, std::string>, Seen> seen;
};

}  // namespace hornbeamspool::policy
