// Which of the records that other VMs keep in the store tell something new.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace hornbeamspool::policy {

class CrashNews {
 public:
  // Whether the VM's record of the start was told anew or holds more requests
  // than when it was last taken. Each VM had others in hand there.
  bool Take(std::string_view vm, std::string_view start, std::int64_t told_ms,
            std::size_t requests) {
    Taken& last = this->taken[{std::string(vm), std::string(start)}];
    if (told_ms <= last.told_ms && requests <= last.requests) return false;
    last = {told_ms, requests};
    return true;
  }
  // Forgets what was told before that time.
  void Forget(std::int64_t before_ms) {
    std::erase_if(this->taken, [before_ms](const auto& entry) {
      return entry.second.told_ms < before_ms;
    });
  }

 private:
  struct Taken {
    std::int64_t told_ms = 0;
    std::size_t requests = 0;
  };

  std::map<std::pair<std::string, std::string>, Taken> taken;
};

}  // namespace hornbeamspool::policy
