// Encoding of the records about poison parts. Sent by UDP, encoded with cereal.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/poison_part_record.h"

namespace hornbeamspool::transport {

// More records do not fit in a datagram.
inline constexpr std::size_t kMaxPartRecordsPerMessage = 15;

// Times are sent as ages at `now`. At most kMaxPartRecordsPerMessage records.
std::string EncodePoisonPartMessage(
    std::span<const policy::PoisonPartRecord> records,
    coordination::TimePoint now);

// As many messages as the records need.
std::vector<std::string> EncodePoisonPartMessages(
    std::span<const policy::PoisonPartRecord> records,
    coordination::TimePoint now);

// Empty when the bytes are not a valid message.
std::optional<std::vector<policy::PoisonPartRecord>> DecodePoisonPartMessage(
    std::string_view bytes, coordination::TimePoint now);

}  // namespace hornbeamspool::transport
