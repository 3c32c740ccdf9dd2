#include "gateway/poison_part_sync.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <utility>

#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/poison_part_rows.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "platform/bounded_number.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;
using policy::KeyValue;
using policy::PoisonPartRecord;
using policy::PoisonPartRecordKind;
using policy::PoisonParts;

std::string_view NameOf(PoisonPartRecordKind kind) {
  static constexpr std::array<
      std::string_view, static_cast<std::size_t>(PoisonPartRecordKind::kCount)>
      kNames{"crashed", "answered", "tried", "refused"};
  return kNames.at(static_cast<std::size_t>(kind));
}

// Without the time of the latest answer, which changes all the time.
std::vector<PoisonPartRecord> WithoutAnyPart(
    std::vector<PoisonPartRecord> records) {
  std::erase_if(records, [](const PoisonPartRecord& record) {
    return record.part == PoisonParts::kAnyPart;
  });
  return records;
}

}  // namespace

PoisonPartSync::PoisonPartSync(const Context& context,
                               platform::StoreClient& store, std::string table,
                               const std::string& vm)
    : context(context),
      key(std::string(kKeyPrefix) + vm),
      row(context, store, "part_keep", std::move(table), this->key) {}

void PoisonPartSync::Expire() {
  PoisonParts& parts = this->context.core->Parts();
  parts.Expire(Now());
  this->context.metrics->SetPoisonParts(parts.SuspectedCount(),
                                        parts.NamedCount());
  this->LogChanges();
}

void PoisonPartSync::Publish(const policy::StoreClock& clock, bool may_write) {
  const TimePoint now = Now();
  PoisonParts& parts = this->context.core->Parts();

  // Step 1: datagrams.
  const std::vector<PoisonPartRecord> records = parts.TakeRecords(now);
  this->context.peers->SendToAll(records, now);
  for (const PoisonPartRecord& record : records) {
    const bool repeated = now - record.at >= PoisonParts::kRepeatDelay;
    if (!repeated) this->LogRecord(record, "own");
  }
  this->LogChanges();

  // Step 2: the row.
  if (!may_write || !this->row.MayWrite(now)) return;
  std::vector<PoisonPartRecord> held = parts.RowRecords(now);
  std::vector<PoisonPartRecord> compared = WithoutAnyPart(held);
  if (compared == this->written) return;
  this->written = std::move(compared);
  PoisonPartRow content;
  for (PoisonPartRecord& record : held) {
    content.records.push_back({static_cast<std::uint8_t>(record.kind),
                               record.part, std::move(record.subject),
                               record.in_flight.count(),
                               clock.At(now) - Milliseconds(now - record.at)});
  }
  this->row.Write(EncodeRow(content), now, [this] { this->written.clear(); });
}

void PoisonPartSync::OnMessage(std::span<const PoisonPartRecord> records) {
  const TimePoint now = Now();
  this->context.core->Parts().Apply(records, now);
  for (const PoisonPartRecord& record : records) {
    this->LogRecord(record, "peer");
  }
  this->LogChanges();
}

void PoisonPartSync::OnRow(const platform::StoreRow& row,
                           const policy::StoreClock& clock) {
  const TimePoint now = Now();
  auto decoded = DecodeRow<PoisonPartRow>(row.value);
  if (!decoded) {
    this->context.log->Write(
        LogKind::kPart,
        KeyValue("outcome", "unreadable_row") + ' ' + KeyValue("row", row.key),
        now);
    return;
  }
  std::vector<PoisonPartRecord> records;
  for (PoisonPartRowRecord& record : decoded->records) {
    const auto kind = static_cast<PoisonPartRecordKind>(record.kind);
    const bool valid = kind < PoisonPartRecordKind::kCount &&
                       platform::IsInRange(record.at_ms) &&
                       platform::IsInRange(record.in_flight_us);
    if (!valid) continue;
    const std::int64_t age_ms =
        std::max<std::int64_t>(0, clock.At(now) - record.at_ms);
    records.push_back({kind, record.part, std::move(record.subject),
                       Duration(record.in_flight_us),
                       now - std::chrono::milliseconds(age_ms)});
  }
  PoisonParts& parts = this->context.core->Parts();
  // The next row of this VM holds what the previous process wrote.
  if (row.key == this->key) {
    parts.Adopt(records, now);
  } else {
    parts.Apply(records, now);
  }
}

void PoisonPartSync::LogRecord(const PoisonPartRecord& record,
                               std::string_view source) {
  if (record.part == PoisonParts::kAnyPart) return;
  const TimePoint now = Now();
  std::string fields = KeyValue("outcome", NameOf(record.kind));
  fields += ' ' + KeyValue("part", policy::Hex(record.part));
  if (record.kind == PoisonPartRecordKind::kCrashed) {
    fields += ' ' + KeyValue("upstream", record.subject);
  }
  fields += ' ' + KeyValue("source", source);
  fields += ' ' + KeyValue("age_ms", Milliseconds(now - record.at));
  this->context.log->Write(LogKind::kPart, fields, now);
}

void PoisonPartSync::LogChanges() {
  const TimePoint now = Now();
  for (const PoisonParts::Change& change :
       this->context.core->Parts().TakeChanges()) {
    this->context.metrics->Add(change.named ? Counter::kPartsNamed
                                            : Counter::kPartsCleared);
    this->context.log->Write(LogKind::kPoisonPart, change.Fields(), now);
  }
}

}  // namespace hornbeamspool::gateway
