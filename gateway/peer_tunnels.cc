#include "gateway/peer_tunnels.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "gateway/crash_watch.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "policy/event.h"
#include "policy/gateway_core.h"
#include "transport/tunnel_message.h"

namespace hornbeamspool::gateway {
namespace {

using http::FetchStatus;
using http::TunnelStatus;

// Peers that one send tries.
constexpr std::size_t kMaxPeers = 3;

// A TCP handshake takes 2 ms within a region.
constexpr coordination::Duration kProbeTimeout = std::chrono::milliseconds(500);

}  // namespace

PeerTunnels::PeerTunnels(const Context& context, std::string address,
                         std::size_t max_tunnels)
    : context(context),
      address(std::move(address)),
      server(
          *context.io, {.max_tunnels = max_tunnels},
          [this](std::string_view request) { return this->Authorize(request); },
          [this](std::string_view message) {
            LogException(this->context, "tunnel", message);
          }),
      peers(context.peers->Vm()) {}

std::string PeerTunnels::Start() {
  if (this->server.Listen(this->address) == 0) {
    return "cannot listen on " + this->address;
  }
  return {};
}

// Only peers get tunnels, and only to upstreams.
std::variant<std::string, TunnelStatus> PeerTunnels::Authorize(
    std::string_view request) const {
  const auto payload = this->context.peers->Verify(request);
  if (!payload) return TunnelStatus::kUnavailable;
  auto message = transport::DecodeTunnelMessage(*payload);
  policy::GatewayCore& core = *this->context.core;
  const bool busy = core.Uplink().IsCutOff() || core.Link().IsCongested(Now());
  if (!message || busy) return TunnelStatus::kUnavailable;
  // An address is used again: the instance that started last has it.
  const policy::UpstreamEntry* upstream = nullptr;
  for (const policy::UpstreamEntry* entry : core.Upstreams().All()) {
    if (entry->address != message->address) continue;
    const bool newer =
        upstream == nullptr || entry->start_time_ms > upstream->start_time_ms;
    if (newer) upstream = entry;
  }
  if (upstream == nullptr) return TunnelStatus::kUnavailable;
  if (!this->MaySend(this->context.peers->Vm(), *upstream)) {
    return TunnelStatus::kWithheld;
  }
  return std::move(message->address);
}

std::shared_ptr<const http::Tunnel> PeerTunnels::Through(
    const std::string& vm) const {
  auto tunnel = std::make_shared<http::Tunnel>();
  tunnel->address = this->context.peers->Directory().AddressOf(vm);
  tunnel->make_request = [this](std::string_view target) {
    return this->context.peers->Authenticate(transport::EncodeTunnelMessage(
        {this->context.peers->Vm(), std::string(target)}));
  };
  return tunnel;
}

http::Task<PeerTunnels::Opened> PeerTunnels::Open(
    policy::UpstreamEntry upstream, http::Request request,
    http::FetchOptions options) {
  policy::GatewayCore& core = *this->context.core;
  if (!core.Uplink().IsCutOff()) {
    options.on_connect = [this, upstream](FetchStatus status) {
      this->OnConnect(upstream, status == FetchStatus::kOk);
    };
    options.confirm_send = [this, upstream] {
      return this->MaySend(this->context.peers->Vm(), upstream);
    };
    http::OpenResult opened =
        co_await this->context.client->Open(upstream.address, request, options);
    const bool unsent = opened.status == FetchStatus::kUnreachable ||
                        opened.status == FetchStatus::kRefused;
    if (!unsent || !core.Uplink().IsCutOff()) {
      Opened direct{std::move(opened), this->context.peers->Vm()};
      co_return direct;
    }
  }
  const std::vector<std::string> chosen = this->peers.Choose(
      this->context.peers->Directory().All(), upstream.id, kMaxPeers, Now());
  FetchStatus status = FetchStatus::kNoTunnel;
  for (const std::string& vm : chosen) {
    if (options.canceller && options.canceller->Cancelled()) break;
    if (!this->MaySend(vm, upstream)) {
      status = FetchStatus::kWithheld;
      continue;
    }
    options.tunnel = this->Through(vm);
    options.confirm_send = [this, vm, upstream] {
      return this->MaySend(vm, upstream);
    };
    http::OpenResult opened =
        co_await this->context.client->Open(upstream.address, request, options);
    if (opened.status == FetchStatus::kWithheld) {
      status = FetchStatus::kWithheld;
      continue;
    }
    if (opened.status != FetchStatus::kNoTunnel) {
      Opened tunnelled{std::move(opened), vm};
      co_return tunnelled;
    }
    this->peers.OnUnavailable(vm, Now());
  }
  Opened none{{status, nullptr}, this->context.peers->Vm()};
  co_return none;
}

bool PeerTunnels::MaySend(std::string_view vm,
                          const policy::UpstreamEntry& upstream) const {
  return this->context.core->MaySend(vm, upstream, Now());
}

void PeerTunnels::OnConnect(const policy::UpstreamEntry& upstream,
                            bool reached) {
  policy::GatewayCore& core = *this->context.core;
  const bool unconfirmed = core.HasUnconfirmedRefusals();
  core.OnConnect(upstream, reached, Now());
  if (!reached) this->Check(Now());
  const bool confirmed = unconfirmed && !core.HasUnconfirmedRefusals();
  if (confirmed) this->context.crashes->PublishNotices();
}

void PeerTunnels::Check(coordination::TimePoint now) {
  policy::GatewayCore& core = *this->context.core;
  const bool cut_off = core.Uplink().IsCutOff();
  if (cut_off != std::exchange(this->was_cut_off, cut_off)) {
    this->context.log->Write(
        LogKind::kDependency,
        policy::KeyValue("upstreams", cut_off ? "cut_off" : "regained"), now);
  }
  std::vector<std::string> ids;
  for (const policy::UpstreamEntry* entry : core.Upstreams().All()) {
    const bool shuts_down =
        entry->draining || core.Backoff().IsLeaving(entry->InstanceId(), now);
    if (!shuts_down) ids.push_back(entry->id);
  }
  std::vector<std::string> due =
      core.Uplink().TakeDueProbes(ids, core.InFlight() > 0, now);
  if (due.empty() && core.HasUnconfirmedRefusals()) {
    due = core.Uplink().TakeConfirmingProbes(ids, now);
  }
  for (const std::string& id : due) {
    const policy::UpstreamEntry* entry = core.Upstreams().Find(id);
    if (entry == nullptr) continue;
    Spawn(this->context, "uplink_probe", this->Probe(*entry));
  }
}

http::Task<void> PeerTunnels::Probe(policy::UpstreamEntry upstream) {
  const FetchStatus status =
      co_await this->context.client->Probe(upstream.address, kProbeTimeout);
  this->OnConnect(upstream, status == FetchStatus::kOk);
}

}  // namespace hornbeamspool::gateway
