#include "gateway/permit_broker.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <cmath>
#include <vector>

#include "gateway/peer_channel.h"
#include "gateway/rate_log.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::Milliseconds;
using coordination::TimePoint;
using policy::AnnouncedRate;
using policy::RateLimits;
using transport::RateMessage;
using transport::RateMessageKind;

// A request is sent again after this timeout; after the last attempt the issuer
// counts as silent. A round trip within a region takes 3 ms.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(25);
constexpr int kRequestAttempts = 2;

// Verdicts kept for requests that arrive again.
constexpr std::size_t kMaxRecentVerdicts = 256;

// Peers that are asked for the known limits after the start, and how often the
// table of peers is looked at until it is there.
constexpr std::size_t kQueriedPeers = 3;
constexpr Duration kQueryInterval = std::chrono::milliseconds(100);

// A limit that changes continuously is told to its issuers when it has changed
// by this fraction, and at most once in this interval.
constexpr double kToldChange = 0.05;
constexpr Duration kTellInterval = std::chrono::milliseconds(200);

// A peer's report counts as older by the time that a datagram may take, so that
// what this VM heard from the upstream itself prevails.
constexpr Duration kReportDelay = std::chrono::milliseconds(50);

// Rounded up, so that a refused VM does not ask again too early.
std::int64_t CeilMilliseconds(Duration duration) {
  return std::chrono::ceil<std::chrono::milliseconds>(duration).count();
}

}  // namespace

PermitBroker::PermitBroker(const Context& context, PeerChannel& channel)
    : context(context), channel(&channel), random(std::random_device{}()) {}

void PermitBroker::Start() {
  Spawn(this->context, "rate_query", this->QueryPeers());
}

http::Task<void> PermitBroker::QueryPeers() {
  http::Timer timer(*this->context.io);
  bool sent = false;
  while (!sent) {
    timer.expires_after(kQueryInterval);
    co_await timer.async_wait(http::kAwait);
    if (!this->channel->Ready()) continue;
    std::vector<std::string> peers = this->channel->Directory().All();
    if (peers.empty()) co_return;
    std::shuffle(peers.begin(), peers.end(), this->random);
    if (peers.size() > kQueriedPeers) peers.resize(kQueriedPeers);
    RateMessage query;
    query.kind = RateMessageKind::kQuery;
    query.sender = this->channel->Vm();
    for (const std::string& peer : peers) {
      sent = this->channel->Send(peer, query) || sent;
    }
  }
}

RateMessage PermitBroker::NewMessage(RateMessageKind kind,
                                     std::string_view instance, TimePoint now) {
  RateMessage message;
  message.kind = kind;
  message.id = this->random();
  message.sender = this->channel->Vm();
  message.instance = instance;
  const auto* latest = this->context.core->Limits().Find(instance);
  if (latest == nullptr) return message;
  message.limited = latest->rate.kind == AnnouncedRate::Kind::kLimited;
  message.per_second = latest->rate.per_second;
  message.age_ms = std::max<std::int64_t>(0, Milliseconds(now - latest->at));
  return message;
}

http::Task<bool> PermitBroker::Request(policy::PermitRequest request) {
  RateLimits& limits = this->context.core->Limits();
  RateMessage message = this->NewMessage(RateMessageKind::kPermitRequest,
                                         request.instance, Now());
  message.failover = limits.IssuerIsSilent(request.instance, Now());
  http::Timer timer(*this->context.io);
  PendingRequest& pending = this->pending[message.id];
  pending.timer = &timer;
  for (int i = 0; i < kRequestAttempts && !pending.answered; ++i) {
    if (!this->channel->Send(request.issuer, message)) break;
    timer.expires_after(kRequestTimeout);
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
  const RateMessage message =
      this->NewMessage(RateMessageKind::kAnnouncement, instance, now);
  if (change == RateLimits::Change::kEnded) {
    const auto found = this->told.find(instance);
    if (found != this->told.end()) this->told.erase(found);
    this->channel->SendToAll(message);
    return;
  }
  if (!message.limited) return;
  auto& [rate, at] = this->told[std::string(instance)];
  if (change == RateLimits::Change::kAnnounced) {
    this->channel->SendToAll(message);
    rate = message.per_second;
    at = now;
    return;
  }
  const bool due = std::abs(message.per_second - rate) > kToldChange * rate &&
                   now - at >= kTellInterval;
  if (!due) return;
  rate = message.per_second;
  at = now;
  for (const std::string& issuer :
       this->context.core->Limits().OtherIssuers(instance)) {
    this->channel->Send(issuer, message);
  }
}

void PermitBroker::OnMessage(const RateMessage& message) {
  const TimePoint now = Now();
  if (message.kind == RateMessageKind::kQuery) {
    this->ReplyToQuery(message, now);
    return;
  }
  this->ApplyReport(message, now);
  if (message.kind == RateMessageKind::kPermitRequest) {
    this->ReplyToRequest(message, now);
  } else if (message.kind == RateMessageKind::kPermitVerdict) {
    this->OnVerdict(message);
  }
}

void PermitBroker::ApplyReport(const RateMessage& message, TimePoint now) {
  RateLimits::Announcement announcement;
  announcement.rate.kind = message.limited ? AnnouncedRate::Kind::kLimited
                                           : AnnouncedRate::Kind::kUnlimited;
  announcement.rate.per_second =
      std::min(message.per_second, policy::kMaxAnnouncedRate);
  announcement.at =
      now - std::chrono::milliseconds(message.age_ms) - kReportDelay;
  const RateLimits::Change change =
      this->context.core->Limits().OnPeerReport(message.instance, announcement);
  LogRateChange(this->context, message.instance, change, announcement.rate,
                message.sender, now);
}

void PermitBroker::ReplyToRequest(const RateMessage& request, TimePoint now) {
  for (const RateMessage& verdict : this->recent_verdicts) {
    if (verdict.id != request.id) continue;
    this->channel->Send(request.sender, verdict);
    return;
  }
  const RateLimits::Verdict verdict = this->context.core->Limits().Issue(
      request.instance, request.failover, now);
  RateMessage reply =
      this->NewMessage(RateMessageKind::kPermitVerdict, request.instance, now);
  reply.id = request.id;
  reply.granted = verdict.granted;
  reply.next_permit_ms = CeilMilliseconds(verdict.next_permit);
  reply.backlog_ms = CeilMilliseconds(verdict.backlog);
  this->context.metrics->Add(verdict.granted ? Counter::kPermitsGranted
                                             : Counter::kPermitsRefused);
  this->channel->Send(request.sender, reply);
  this->recent_verdicts.push_back(std::move(reply));
  if (this->recent_verdicts.size() > kMaxRecentVerdicts) {
    this->recent_verdicts.pop_front();
  }
}

void PermitBroker::ReplyToQuery(const RateMessage& query, TimePoint now) {
  for (const auto& [instance, latest] :
       this->context.core->Limits().AllLimited()) {
    this->channel->Send(
        query.sender,
        this->NewMessage(RateMessageKind::kAnnouncement, instance, now));
  }
}

void PermitBroker::OnVerdict(const RateMessage& verdict) {
  const auto found = this->pending.find(verdict.id);
  if (found == this->pending.end()) return;
  PendingRequest& request = found->second;
  request.answered = true;
  request.verdict.granted = verdict.granted;
  request.verdict.next_permit =
      std::chrono::milliseconds(verdict.next_permit_ms);
  request.verdict.backlog = std::chrono::milliseconds(verdict.backlog_ms);
  request.timer->cancel();
}

}  // namespace hornbeamspool::gateway
