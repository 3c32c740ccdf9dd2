#include "gateway/crash_watch.h"

#include <chrono>
#include <utility>

#include "gateway/crash_rows.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/peer_tunnels.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "platform/bounded_number.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;
using platform::StoreRow;
using policy::CrashNotice;
using policy::CrashRecord;
using policy::KeyValue;

// A CrashRow and a PoisonPartRow for each VM.
constexpr std::string_view kTable = "crashes";

// A refusal arrives within a round trip; a probe that takes this long proves
// nothing.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

static_assert(policy::CrashSuspects::kMaxNoticeFingerprints <=
                  transport::kMaxFingerprintsPerMessage,
              "peers would reject a notice as malformed");

}  // namespace

CrashWatch::CrashWatch(const Context& context, platform::StoreClient& store,
                       std::string vm)
    : context(context),
      vm(std::move(vm)),
      row(context, store, "crash_keep", std::string(kTable), this->vm),
      parts(context, store, std::string(kTable), this->vm),
      table(*context.io, store, std::string(kTable),
            {[this](const auto& rows) { this->OnRows(rows); },
             [this](const auto& rows) { this->OnRows(rows); }, [](bool) {},
             [this](std::string_view fault) {
               LogException(this->context, "crashes", fault);
             }}) {}

void CrashWatch::Start() { this->table.Start(); }

void CrashWatch::OnSendFailed(const policy::UpstreamEntry& upstream,
                              policy::SendOutcome outcome) {
  this->PublishNotices();
  if (outcome == policy::SendOutcome::kNotListening) {
    this->context.tunnels->Check(Now());
  }
  if (outcome != policy::SendOutcome::kBroken) return;
  policy::CrashSuspects& suspects = this->context.core->Suspects();
  if (!suspects.ShouldProbe(upstream.InstanceId(), Now())) return;
  Spawn(this->context, "crash_probe", this->Probe(upstream));
}

http::Task<void> CrashWatch::Probe(policy::UpstreamEntry upstream) {
  const http::FetchStatus status =
      co_await this->context.client->Probe(upstream.address, kProbeTimeout);
  this->context.core->OnConnect(upstream, status == http::FetchStatus::kOk,
                                Now());
  if (status != http::FetchStatus::kRefused) co_return;
  this->context.core->OnUpstreamRefused(upstream, Now());
  this->context.tunnels->Check(Now());
  this->PublishNotices();
}

void CrashWatch::PublishNotices() {
  const TimePoint now = Now();
  for (CrashNotice& notice : this->context.core->Suspects().TakeNotices(now)) {
    this->context.metrics->Add(Counter::kCrashesSeen);
    this->records.Add(notice, now);
    this->row_outdated = true;
    this->LogNotice(notice, "own");
    this->context.peers->SendToAll(
        {std::move(notice.instance_id), std::move(notice.fingerprints)});
  }
  this->parts.Publish(this->table.Clock(), this->table_read);
  const bool due =
      this->row_outdated && this->table_read && this->row.MayWrite(now);
  if (!due) return;
  this->row_outdated = false;
  this->row.Write(this->EncodeRecords(now), now,
                  [this] { this->row_outdated = true; });
}

std::string CrashWatch::EncodeRecords(TimePoint now) {
  const std::int64_t store_ms = this->table.Clock().At(now);
  CrashRow row;
  for (CrashRecord& record : this->records.Current(now)) {
    const std::int64_t announced_ms =
        store_ms - Milliseconds(now - record.announced_at);
    row.records.push_back({std::move(record.notice.instance_id),
                           std::move(record.notice.fingerprints),
                           announced_ms});
  }
  return EncodeRow(row);
}

void CrashWatch::OnRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    if (row.key.starts_with(PoisonPartSync::kKeyPrefix)) {
      const bool is_own =
          row.key.substr(PoisonPartSync::kKeyPrefix.size()) == this->vm;
      const bool skipped = row.removed || (this->table_read && is_own);
      if (!skipped) this->parts.OnRow(row, this->table.Clock());
      continue;
    }
    // The first read brings what the previous process left in this VM's row;
    // later, the row holds only what this process wrote.
    if (this->table_read && row.key == this->vm) continue;
    if (!row.removed) this->OnRow(row);
  }
  // The rows of VMs that were lost may be old.
  this->parts.Expire();
  this->table_read = true;
}

void CrashWatch::OnRow(const StoreRow& row) {
  const TimePoint now = Now();
  const std::int64_t store_ms = this->table.Clock().At(now);
  this->seen_records.ExpireBefore(
      store_ms - Milliseconds(policy::CrashSuspects::kSuspicionTimeout));
  auto decoded = DecodeRow<CrashRow>(row.value);
  if (!decoded) {
    this->context.log->Write(
        LogKind::kCrash,
        KeyValue("outcome", "unreadable_row") + ' ' + KeyValue("row", row.key),
        now);
    return;
  }
  for (CrashRowRecord& record : decoded->records) {
    if (!platform::IsInRange(record.announced_ms)) continue;
    const Duration age =
        std::chrono::milliseconds(store_ms - record.announced_ms);
    if (age >= policy::CrashSuspects::kSuspicionTimeout) continue;
    const bool is_new = this->seen_records.MarkIfNew(
        row.key, record.instance_id, record.announced_ms,
        record.fingerprints.size());
    if (!is_new) continue;
    const CrashNotice notice{std::move(record.instance_id),
                             std::move(record.fingerprints)};
    // Carries the previous process's record over into this VM's next row.
    if (row.key == this->vm) this->records.Add(notice, now - age);
    this->ApplyNotice(notice, "store", now - age);
  }
}

void CrashWatch::OnMessage(const transport::CrashMessage& message) {
  this->context.metrics->Add(Counter::kCrashesTold);
  this->ApplyNotice({message.instance_id, message.fingerprints}, "peer", Now());
}

void CrashWatch::ApplyNotice(const CrashNotice& notice, std::string_view source,
                             TimePoint seen_at) {
  this->context.core->Suspects().ApplyNotice(notice, seen_at);
  this->LogNotice(notice, source);
}

// Writes a line for each request of the notice, with the number of crashes that
// are known for it.
void CrashWatch::LogNotice(const CrashNotice& notice, std::string_view source) {
  const TimePoint now = Now();
  for (const std::uint64_t fingerprint : notice.fingerprints) {
    const std::size_t crashes =
        this->context.core->Suspects().CrashCount(fingerprint, now);
    std::string pairs = KeyValue("upstream", notice.instance_id);
    pairs += ' ' + KeyValue("fingerprint", policy::Hex(fingerprint));
    pairs += ' ' + KeyValue("crashes", static_cast<std::int64_t>(crashes));
    pairs += ' ' + KeyValue("source", source);
    this->context.log->Write(LogKind::kCrash, pairs, now);
  }
}

}  // namespace hornbeamspool::gateway
