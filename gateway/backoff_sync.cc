#include "gateway/backoff_sync.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <span>
#include <utility>

#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/peer_tunnels.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "policy/announced_backoff.h"
#include "policy/event.h"
#include "policy/gateway_core.h"
#include "transport/backoff_message.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;
using policy::KeyValue;

constexpr std::string_view kFromAnswer = "answer";

// Peers that are asked after the start, and that get each repetition.
constexpr std::size_t kQueriedPeers = 3;
constexpr std::size_t kRepeatPeers = 2;
constexpr Duration kQueryInterval = std::chrono::milliseconds(100);

// Notices in one repetition, at most.
constexpr std::size_t kMaxRepeated = 16;

// Pauses between the datagrams that tell of one pause: with 5% of them lost,
// one in 8,000 peers gets none.
constexpr std::array kPauseRepeats{std::chrono::milliseconds(0),
                                   std::chrono::milliseconds(60),
                                   std::chrono::milliseconds(120)};

}  // namespace

BackoffSync::BackoffSync(const Context& context)
    : context(context), random(std::random_device{}()) {}

void BackoffSync::Start() {
  Spawn(this->context, "backoff_query", this->QueryPeers());
}

http::Task<void> BackoffSync::QueryPeers() {
  http::Timer timer(*this->context.io);
  PeerChannel& peers = *this->context.peers;
  std::size_t sent = 0;
  while (sent == 0) {
    timer.expires_after(kQueryInterval);
    co_await timer.async_wait(http::kAwait);
    if (!peers.Ready()) continue;
    if (peers.Directory().Size() == 0) co_return;
    sent = peers.SendBackoffQuery(kQueriedPeers, this->random);
  }
}

void BackoffSync::OnAnswer(const policy::UpstreamEntry& upstream,
                           std::string_view vm,
                           const policy::AnnouncedBackoff& announced,
                           TimePoint sent_at, TimePoint now) {
  policy::UpstreamBackoff& backoff = this->context.core->Backoff();
  if (!announced.Any() && backoff.Empty()) return;
  const std::string instance = upstream.InstanceId();
  if (announced.pause == Duration(0)) backoff.OnAnswer(instance, sent_at);
  const bool identified = upstream.start_time_ms != 0;
  if (announced.leaving) {
    this->SetLeaving(upstream.id, {instance, {}, identified, {}, {}},
                     kFromAnswer, now);
  }
  if (announced.pause > Duration(0)) {
    this->SetPause(upstream.id,
                   {instance, std::string(vm), identified, announced.pause, {}},
                   kFromAnswer, now);
  }
  if (!announced.malformed) return;
  this->context.log->Write(LogKind::kUpstream,
                           KeyValue("upstream", upstream.id) + ' ' +
                               KeyValue("instance", instance) + ' ' +
                               KeyValue("state", "malformed_backoff"),
                           now);
}

void BackoffSync::SetLeaving(std::string_view upstream, const Notice& notice,
                             std::string_view source, TimePoint now) {
  const bool news = this->context.core->Backoff().OnLeaving(
      notice.instance, notice.identified, now - notice.age);
  if (!news) return;
  this->context.metrics->Add(Counter::kUpstreamsLeaving);
  this->context.log->Write(LogKind::kUpstream,
                           KeyValue("upstream", upstream) + ' ' +
                               KeyValue("instance", notice.instance) + ' ' +
                               KeyValue("source", source) + ' ' +
                               KeyValue("state", "leaving"),
                           now);
  const policy::UpstreamEntry* entry =
      this->context.core->Upstreams().Find(upstream);
  if (entry != nullptr) this->context.client->CloseIdle(entry->address);
  if (source == kFromAnswer) {
    this->context.peers->SendToAll(std::span(&notice, 1));
  }
}

void BackoffSync::SetPause(std::string_view upstream, const Notice& notice,
                           std::string_view source, TimePoint now) {
  const bool news = this->context.core->Backoff().OnPause(
      notice.vm, notice.instance, notice.remaining, now);
  if (!news) return;
  const bool own = notice.vm == this->context.peers->Vm();
  if (own) this->context.metrics->Add(Counter::kPauses);
  this->context.log->Write(
      LogKind::kUpstream,
      KeyValue("upstream", upstream) + ' ' +
          KeyValue("instance", notice.instance) + ' ' +
          KeyValue("source", source) + ' ' + KeyValue("state", "paused") + ' ' +
          KeyValue("for", notice.vm) + ' ' +
          KeyValue("pause_ms", Milliseconds(notice.remaining)),
      now);
  // Peers need to know of pauses of VMs that carry their requests.
  const bool concerns_peers = !own || this->context.tunnels->OpenTunnels() > 0;
  if (source != kFromAnswer || !concerns_peers) return;
  Spawn(this->context, "backoff_pause",
        this->AnnouncePause(notice, now + notice.remaining));
}

http::Task<void> BackoffSync::AnnouncePause(Notice notice, TimePoint end) {
  http::Timer timer(*this->context.io);
  for (const Duration wait : kPauseRepeats) {
    timer.expires_after(wait);
    co_await timer.async_wait(http::kAwait);
    notice.remaining = end - Now();
    if (notice.remaining <= Duration(0)) co_return;
    this->context.peers->SendToAll(std::span(&notice, 1));
  }
}

void BackoffSync::OnMessage(const transport::BackoffMessage& message,
                            TimePoint now) {
  for (const Notice& notice : message.notices) {
    // The id of an upstream ends before the start time in the instance's.
    std::string_view upstream = notice.instance;
    upstream = upstream.substr(0, upstream.rfind('@'));
    if (notice.vm.empty()) {
      this->SetLeaving(upstream, notice, message.sender, now);
    } else {
      this->SetPause(upstream, notice, message.sender, now);
    }
  }
  if (!message.query) return;
  this->context.peers->Send(message.sender,
                            this->context.core->Backoff().Notices(now));
}

void BackoffSync::RepeatNotices(TimePoint now) {
  policy::UpstreamBackoff& backoff = this->context.core->Backoff();
  if (backoff.Empty()) return;
  std::vector<Notice> notices = backoff.Notices(now);
  // A pause would grow by the delay of each repetition.
  std::erase_if(notices, [](const Notice& n) { return !n.vm.empty(); });
  if (notices.empty()) return;
  std::shuffle(notices.begin(), notices.end(), this->random);
  notices.resize(std::min(notices.size(), kMaxRepeated));
  this->context.peers->SendToSome(notices, kRepeatPeers, this->random);
}

}  // namespace hornbeamspool::gateway
