#include "gateway/crash_watch.h"

#include <chrono>
#include <utility>

#include "gateway/crash_rows.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "platform/own_row.h"
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

constexpr std::string_view kTable = "crashes";  // VM to its records

// A connection that is refused comes back within a round trip; one that takes
// this long says nothing.
constexpr Duration kProbeLimit = std::chrono::milliseconds(500);

// Pause between writes of the row, so that the crashes of an outage come with
// few of them.
constexpr Duration kKeepPause = std::chrono::milliseconds(500);

static_assert(policy::CrashSuspects::kMostNoticed <=
                  transport::kMostFingerprints,
              "peers would drop a notice as unsound");

}  // namespace

CrashWatch::CrashWatch(const Context& context, platform::StoreClient& store,
                       std::string vm)
    : context(context),
      store(&store),
      vm(std::move(vm)),
      table(*context.io, store, std::string(kTable),
            {[this](const auto& rows) { this->OnRows(rows); },
             [this](const auto& rows) { this->OnRows(rows); }, [](bool) {},
             [this](std::string_view fault) {
               LogException(this->context, "crashes", fault);
             }}) {}

void CrashWatch::Start() { this->table.Start(); }

void CrashWatch::OnSendFailed(const policy::UpstreamEntry& upstream,
                              policy::SendOutcome outcome) {
  this->Tell();
  if (outcome != policy::SendOutcome::kBroken) return;
  policy::CrashSuspects& suspects = this->context.core->Suspects();
  if (!suspects.WantsProbe(upstream.InstanceId(), Now())) return;
  Spawn(this->context, "crash_probe", this->Probe(upstream));
}

http::Task<void> CrashWatch::Probe(policy::UpstreamEntry upstream) {
  const http::FetchStatus status =
      co_await this->context.client->Probe(upstream.address, kProbeLimit);
  if (status != http::FetchStatus::kRefused) co_return;
  this->context.core->OnUpstreamDown(upstream, Now());
  this->Tell();
}

void CrashWatch::Tell() {
  const TimePoint now = Now();
  for (CrashNotice& notice : this->context.core->Suspects().TakeNotices(now)) {
    this->context.metrics->Add(Counter::kCrashesSeen);
    this->records.Add(notice, now);
    this->changed = true;
    this->Log(notice, "own");
    this->context.peers->SendToAll(
        {std::move(notice.start), std::move(notice.fingerprints)});
  }
  const bool due = this->changed && !this->keeping && this->known &&
                   now - this->kept_at >= kKeepPause;
  if (!due) return;
  this->keeping = true;
  Spawn(this->context, "crash_keep", this->Keep(), [this] {
    this->keeping = false;
    this->changed = true;
  });
}

// Writes the records to this VM's row. What could not be written stays due.
http::Task<void> CrashWatch::Keep() {
  this->changed = false;
  this->kept_at = Now();
  std::string value = this->EncodeRecords(this->kept_at);
  const bool kept = co_await platform::WriteOwnRow(
      *this->store, std::string(kTable), this->vm, std::move(value));
  this->keeping = false;
  if (!kept) this->changed = true;
}

std::string CrashWatch::EncodeRecords(TimePoint now) {
  const std::int64_t store_ms = this->table.Clock().At(now);
  CrashRow kept;
  for (CrashRecord& record : this->records.Current(now)) {
    const std::int64_t told_ms = store_ms - Milliseconds(now - record.told_at);
    kept.records.push_back({std::move(record.notice.start),
                            std::move(record.notice.fingerprints), told_ms});
  }
  return EncodeRow(kept);
}

void CrashWatch::OnRows(const std::vector<StoreRow>& rows) {
  for (const StoreRow& row : rows) {
    // Later, the own row tells nothing new.
    if (this->known && row.key == this->vm) continue;
    if (!row.removed) this->OnRow(row);
  }
  this->known = true;
}

void CrashWatch::OnRow(const StoreRow& row) {
  const TimePoint now = Now();
  const std::int64_t store_ms = this->table.Clock().At(now);
  this->news.Forget(store_ms - Milliseconds(policy::CrashSuspects::kMemory));
  auto kept = DecodeRow<CrashRow>(row.value);
  if (!kept) {
    this->context.log->Write(
        LogKind::kCrash,
        KeyValue("outcome", "unreadable_row") + ' ' + KeyValue("row", row.key),
        now);
    return;
  }
  for (CrashRowRecord& record : kept->records) {
    const Duration age = std::chrono::milliseconds(store_ms - record.told_ms);
    if (age >= policy::CrashSuspects::kMemory) continue;
    const bool news = this->news.Take(row.key, record.start, record.told_ms,
                                      record.fingerprints.size());
    if (!news) continue;
    const CrashNotice notice{std::move(record.start),
                             std::move(record.fingerprints)};
    // What the predecessor told, this VM goes on to keep.
    if (row.key == this->vm) this->records.Add(notice, now - age);
    this->Learn(notice, "store", now - age);
  }
}

void CrashWatch::OnMessage(const transport::CrashMessage& message) {
  this->context.metrics->Add(Counter::kCrashesTold);
  this->Learn({message.upstream, message.fingerprints}, "peer", Now());
}

void CrashWatch::Learn(const CrashNotice& notice, std::string_view source,
                       TimePoint seen_at) {
  this->context.core->Suspects().Learn(notice, seen_at);
  this->Log(notice, source);
}

// One line for each request that was in hand, with the starts of upstreams that
// are known to have gone down with it.
void CrashWatch::Log(const CrashNotice& notice, std::string_view source) {
  const TimePoint now = Now();
  for (const std::uint64_t fingerprint : notice.fingerprints) {
    const std::size_t crashes =
        this->context.core->Suspects().CrashesOf(fingerprint, now);
    std::string pairs = KeyValue("upstream", notice.start);
    pairs += ' ' + KeyValue("fingerprint", policy::Hex(fingerprint));
    pairs += ' ' + KeyValue("crashes", static_cast<std::int64_t>(crashes));
    pairs += ' ' + KeyValue("source", source);
    this->context.log->Write(LogKind::kCrash, pairs, now);
  }
}

}  // namespace hornbeamspool::gateway
