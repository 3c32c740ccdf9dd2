// What a VM observed of a prompt part that may crash upstreams. Shared with the
// other VMs by datagram and by a row of the store.
#pragma once

#include <cstdint>
#include <string>

#include "coordination/time.h"

namespace hornbeamspool::policy {

// Sent as a number: keep the order.
enum class PoisonPartRecordKind : std::uint8_t {
  kCrashed,   // an upstream crashed before it began to answer a request with it
  kAnswered,  // an upstream began to answer a request with the part
  kTried,     // a request with the part was sent although it is named
  kRefused,   // a request with the part was refused
  kCount
};

struct PoisonPartRecord {
  PoisonPartRecordKind kind = PoisonPartRecordKind::kCrashed;
  std::uint64_t part = 0;
  // The instance that crashed; for kTried, the VM and time of the trial.
  std::string subject;
  coordination::Duration in_flight{};  // of kCrashed: from the send to `at`
  coordination::TimePoint at{};

  friend bool operator==(const PoisonPartRecord&,
                         const PoisonPartRecord&) = default;
};

}  // namespace hornbeamspool::policy
