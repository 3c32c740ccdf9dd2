#include "gateway/permit_broker.h"

#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <utility>
#include <vector>

#include "gateway/peer_channel.h"
#include "gateway/rate_log.h"
#include "gateway/spawn.h"
#include "gateway/warmup_sync.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "policy/warmup/cold_upstreams.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::PermitExchange;
using policy::RateLimits;
using policy::RateMessage;
using policy::RateMessageKind;

// Peers that are asked for the known limits after the start, and how often the
// table of peers is looked at until it is there.
constexpr std::size_t kQueriedPeers = 3;
constexpr Duration kQueryInterval = std::chrono::milliseconds(100);

}  // namespace

PermitBroker::PermitBroker(const Context& context, PeerChannel& channel,
                           std::string vm, std::uint64_t incarnation)
    : context(context),
      channel(&channel),
      exchange(context.core->Limits(), std::move(vm), incarnation) {}

void PermitBroker::Start() {
  Spawn(this->context, "rate_query", this->QueryPeers());
}

http::Task<void> PermitBroker::QueryPeers() {
  http::Timer timer(*this->context.io);
  const RateMessage query = this->exchange.MakeQuery();
  bool sent = false;
  while (!sent) {
    timer.expires_after(kQueryInterval);
    co_await timer.async_wait(http::kAwait);
    if (!this->channel->Ready()) continue;
    if (this->channel->Directory().Size() == 0) co_return;
    // The ranking for its own name differs from one VM to the next.
    for (const std::string& vm : this->channel->Directory().VmsFor(
             this->channel->Vm(), kQueriedPeers + 1, Now())) {
      const bool is_peer = vm != this->channel->Vm();
      if (is_peer && this->channel->Send(vm, query)) sent = true;
    }
  }
}

http::Task<bool> PermitBroker::Request(policy::PermitRequest request) {
  RateLimits& limits = this->context.core->Limits();
  const RateMessage message =
      this->exchange.MakeRequest(request.instance, Now());
  http::Timer timer(*this->context.io);
  PendingRequest& pending = this->pending[message.id];
  pending.timer = &timer;
  for (int i = 0; i < PermitExchange::kRequestAttempts; ++i) {
    if (pending.answered) break;
    if (!this->channel->Send(request.issuer, message)) break;
    timer.expires_after(PermitExchange::kRequestTimeout);
    boost::system::error_code woken;
    co_await timer.async_wait(boost::asio::redirect_error(http::kAwait, woken));
  }
  const PendingRequest ended = pending;
  this->pending.erase(message.id);
  const TimePoint now = Now();
  if (!ended.answered) {
    limits.OnTimeout(request.issuer, now);
    this->context.metrics->Add(Counter::kPermitTimeouts);
    co_return false;
  }
  limits.OnVerdict(request.instance, request.issuer, ended.verdict, now);
  co_return ended.verdict.granted;
}

void PermitBroker::Announce(std::string_view instance,
                            RateLimits::Change change, TimePoint now) {
  using Audience = PermitExchange::Audience;
  const Audience audience = this->exchange.AudienceOf(instance, change, now);
  if (audience == Audience::kNobody) return;
  const RateMessage message = this->exchange.MakeAnnouncement(instance, now);
  if (audience == Audience::kAll) {
    this->channel->SendToAll(message);
    return;
  }
  for (const std::string& issuer :
       this->context.core->Limits().OtherIssuers(instance)) {
    this->channel->Send(issuer, message);
  }
}

void PermitBroker::AnnounceByIssuers(std::string_view key, bool from_peer,
                                     TimePoint now) {
  RateLimits& limits = this->context.core->Limits();
  const RateMessage message = this->exchange.MakeAnnouncement(key, now);
  if (limits.IsIssuer(key)) {
    this->channel->SendToAll(message);
  } else if (!from_peer) {
    for (const std::string& issuer : limits.OtherIssuers(key)) {
      this->channel->Send(issuer, message);
    }
  }
}

void PermitBroker::OnMessage(const RateMessage& message) {
  const TimePoint now = Now();
  const PermitExchange::Received received =
      this->exchange.OnMessage(message, now);
  if (policy::ColdUpstreams::InstanceOf(message.instance)) {
    this->context.warmup->OnMessage(message, now);
  } else {
    const policy::AnnouncedRate rate{policy::AnnouncedRate::Kind::kLimited,
                                     message.per_second};
    LogRateChange(this->context, message.instance, received.change, rate,
                  message.sender, now);
  }
  for (const RateMessage& reply : received.replies) {
    if (reply.kind == RateMessageKind::kPermitVerdict) {
      this->context.metrics->Add(reply.granted ? Counter::kPermitsGranted
                                               : Counter::kPermitsRefused);
    }
    this->channel->Send(message.sender, reply);
  }
  if (message.kind != RateMessageKind::kPermitVerdict) return;
  const auto found = this->pending.find(message.id);
  if (found == this->pending.end()) return;
  found->second.answered = true;
  found->second.verdict = PermitExchange::VerdictOf(message);
  found->second.timer->cancel();
}

}  // namespace hornbeamspool::gateway
