#include "transport/poison_part_message.h"

#include <algorithm>
#include <cstdint>

#include "transport/datagram.h"
#include "transport/short_string.h"

namespace hornbeamspool::transport {
namespace {

using coordination::Duration;
using policy::PoisonPartRecord;
using policy::PoisonPartRecordKind;

// "PPM1"; the last byte is the version of the encoding.
constexpr std::uint32_t kMagic = 0x50504d31;

constexpr std::size_t kMaxSubjectBytes = 60;
constexpr std::int64_t kMaxMicroseconds = 86'400'000'000;  // a day

bool IsTime(std::int64_t microseconds) {
  return microseconds >= 0 && microseconds <= kMaxMicroseconds;
}

struct WireRecord {
  std::uint8_t kind = 0;
  std::uint64_t part = 0;
  std::string subject;
  std::int64_t in_flight_us = 0;
  std::int64_t age_us = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->part, ShortString{&this->subject},
            this->in_flight_us, this->age_us);
  }
};

struct WireMessage {
  std::vector<WireRecord> records;

  template <typename Archive>
  void save(Archive& archive) const {
    archive(static_cast<std::uint8_t>(this->records.size()));
    WireMessage copy = *this;  // a ShortString refers to a mutable string
    for (WireRecord& record : copy.records) archive(record);
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint8_t count = 0;
    archive(count);
    for (std::uint8_t i = 0; i < count; ++i) {
      WireRecord record;
      archive(record);
      this->records.push_back(std::move(record));
    }
  }
};

}  // namespace

std::string EncodePoisonPartMessage(std::span<const PoisonPartRecord> records,
                                    coordination::TimePoint now) {
  WireMessage message;
  for (const PoisonPartRecord& record : records) {
    const Duration age = std::max(Duration(0), now - record.at);
    message.records.push_back(
        {static_cast<std::uint8_t>(record.kind), record.part,
         record.subject.substr(0, kMaxSubjectBytes), record.in_flight.count(),
         std::min<std::int64_t>(age.count(), kMaxMicroseconds)});
  }
  return EncodeDatagram(kMagic, message);
}

std::vector<std::string> EncodePoisonPartMessages(
    std::span<const PoisonPartRecord> records, coordination::TimePoint now) {
  std::vector<std::string> messages;
  while (!records.empty()) {
    const std::size_t count =
        std::min(kMaxPartRecordsPerMessage, records.size());
    messages.push_back(EncodePoisonPartMessage(records.first(count), now));
    records = records.subspan(count);
  }
  return messages;
}

std::optional<std::vector<PoisonPartRecord>> DecodePoisonPartMessage(
    std::string_view bytes, coordination::TimePoint now) {
  const auto message = DecodeDatagram<WireMessage>(kMagic, bytes);
  if (!message || message->records.size() > kMaxPartRecordsPerMessage) {
    return std::nullopt;
  }
  std::vector<PoisonPartRecord> records;
  for (const WireRecord& record : message->records) {
    const auto kind = static_cast<PoisonPartRecordKind>(record.kind);
    const bool valid = kind < PoisonPartRecordKind::kCount &&
                       record.subject.size() <= kMaxSubjectBytes &&
                       IsTime(record.in_flight_us) && IsTime(record.age_us);
    if (!valid) return std::nullopt;
    records.push_back({kind, record.part, record.subject,
                       Duration(record.in_flight_us),
                       now - Duration(record.age_us)});
  }
  return records;
}

}  // namespace hornbeamspool::transport
