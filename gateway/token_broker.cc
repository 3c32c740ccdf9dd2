#include "gateway/token_broker.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <utility>

#include "gateway/budget_sync.h"
#include "gateway/event_log.h"
#include "gateway/peer_channel.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::BudgetManager;
using policy::BudgetVerdict;
using policy::KeyValue;
using transport::BudgetMessage;
using transport::BudgetMessageKind;
using transport::TransferStatus;

// Homes of an organisation. The second is asked when the first gives nothing;
// it draws from the store only what the request needs.
constexpr std::size_t kHomesPerOrganisation = 2;

// A VM remains a home for this long after a refresh or a request last found it
// to be the first choice.
constexpr Duration kHomeRetention = std::chrono::seconds(4);

// A request is sent again after this timeout; after the last attempt the peer
// counts as timed out. A round trip within a region takes 3 ms, and a write to
// the store that the reply may wait for takes 10 ms.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(40);
constexpr int kRequestAttempts = 2;

// How long a peer tries to obtain the requested tokens before it replies that
// it has none, and how often it looks.
constexpr Duration kReplyTimeout = std::chrono::milliseconds(30);
constexpr Duration kPollInterval = std::chrono::milliseconds(5);

// How long a refusal is cached when a home has tokens that its rate limit has
// not released yet.
constexpr Duration kRateLimitRefusalTtl = std::chrono::milliseconds(60);

// How long any other refusal is cached before the homes are asked again.
constexpr Duration kRefusalTtl = std::chrono::milliseconds(250);

// How often homes are refreshed and unused gifts sent back.
constexpr Duration kRefreshInterval = std::chrono::milliseconds(500);

// A transfer that is no reply is not acknowledged, so it is sent this many
// times at this interval. The receiver counts it once.
constexpr int kTransferSends = 3;
constexpr Duration kTransferResendInterval = std::chrono::milliseconds(60);

// Minimum time between two log lines of one organisation's used up budget. Each
// VM asks its homes up to four times a second.
constexpr Duration kExhaustedLogInterval = std::chrono::seconds(1);

// Replies kept for requests that arrive again.
constexpr std::size_t kMaxRecentReplies = 512;

TransferStatus StatusFor(BudgetVerdict verdict, bool reachable) {
  if (verdict == BudgetVerdict::kRateLimited) {
    return TransferStatus::kRateLimited;
  }
  if (verdict == BudgetVerdict::kExhausted) return TransferStatus::kExhausted;
  if (verdict == BudgetVerdict::kHeldElsewhere) {
    return TransferStatus::kHeldElsewhere;
  }
  // While the store answers, a write in progress may still bring tokens.
  return reachable ? TransferStatus::kRateLimited
                   : TransferStatus::kUnavailable;
}

BudgetVerdict VerdictFor(TransferStatus status) {
  if (status == TransferStatus::kRateLimited) {
    return BudgetVerdict::kRateLimited;
  }
  if (status == TransferStatus::kExhausted) return BudgetVerdict::kExhausted;
  return BudgetVerdict::kHeldElsewhere;
}

}  // namespace

TokenBroker::TokenBroker(const Context& context, PeerChannel& channel,
                         std::uint64_t incarnation)
    : context(context),
      channel(&channel),
      random(std::random_device{}()),
      incarnation(incarnation),
      gift_deduplicator(incarnation) {}

void TokenBroker::Start() {
  SpawnBackgroundTask(this->context, "homes",
                      [this] { return this->RefreshHomesPeriodically(); });
}

std::uint64_t TokenBroker::NewId() { return this->random(); }

BudgetMessage TokenBroker::NewMessage(BudgetMessageKind kind, std::uint64_t id,
                                      const std::string& organisation) const {
  BudgetMessage message;
  message.kind = kind;
  message.id = id;
  message.sender = this->channel->Vm();
  message.sender_incarnation = this->incarnation;
  message.organisation = organisation;
  return message;
}

void TokenBroker::WakeWaiters(PeerRequest& request) {
  for (http::Timer* timer : request.waiters) timer->cancel();
}

// Returns when WakeWaiters is called or at `until`.
http::Task<void> TokenBroker::WaitForWake(PeerRequest& request,
                                          TimePoint until) {
  http::Timer timer(*this->context.io);
  timer.expires_at(until);
  request.waiters.insert(&timer);
  boost::system::error_code woken;
  co_await timer.async_wait(boost::asio::redirect_error(http::kAwait, woken));
  request.waiters.erase(&timer);
}

void TokenBroker::OnShareChanged() {
  for (auto& [organisation, request] : this->peer_requests) {
    this->WakeWaiters(request);
  }
}

http::Task<BudgetVerdict> TokenBroker::WaitForTokens(std::string organisation,
                                                     std::int64_t amount,
                                                     TimePoint until) {
  PeerRequest& request = this->peer_requests[organisation];
  const TimePoint now = Now();
  const bool rate_limited = request.status == TransferStatus::kRateLimited;
  if (request.refused_until > now && rate_limited) {
    co_await this->WaitForWake(request, std::min(until, request.refused_until));
    co_return BudgetVerdict::kRateLimited;
  }
  if (request.refused_until > now) co_return VerdictFor(request.status);
  if (!request.in_flight) this->StartRequest(organisation, amount);
  co_await this->WaitForWake(request, until);
  if (request.refused_until > Now()) co_return VerdictFor(request.status);
  co_return BudgetVerdict::kReserved;
}

void TokenBroker::Prefetch(const std::string& organisation) {
  PeerRequest& request = this->peer_requests[organisation];
  const TimePoint now = Now();
  if (request.in_flight || request.refused_until > now) return;
  if (!this->channel->Ready()) return;
  if (this->IsPrimaryHome(organisation)) {
    this->context.core->Budgets().ActAsHome(organisation, now + kHomeRetention);
    return;
  }
  if (this->context.core->Budgets().WantedGift(organisation) <= 0) return;
  this->StartRequest(organisation, 0);
}

void TokenBroker::StartRequest(const std::string& organisation,
                               std::int64_t needed) {
  PeerRequest& request = this->peer_requests[organisation];
  request.in_flight = true;
  Spawn(this->context, "budget_ask",
        this->RequestFromHomes(organisation, needed),
        [this, &request] { this->EndRequest(request); });
}

void TokenBroker::CacheRefusal(PeerRequest& request, TransferStatus status) {
  request.status = status;
  request.refused_until =
      Now() + (status == TransferStatus::kRateLimited ? kRateLimitRefusalTtl
                                                      : kRefusalTtl);
}

void TokenBroker::EndRequest(PeerRequest& request) {
  request.in_flight = false;
  this->WakeWaiters(request);
}

// Asks the organisation's homes in order of preference. When none of them gives
// tokens, this VM draws `needed` tokens from the store itself.
http::Task<void> TokenBroker::RequestFromHomes(std::string organisation,
                                               std::int64_t needed) {
  PeerRequest& request = this->peer_requests[organisation];
  BudgetManager& budgets = this->context.core->Budgets();
  if (!this->channel->Ready()) {
    // Without the table of peers, VmsFor returns this VM for every
    // organisation.
    co_await this->WaitForWake(request, Now() + kPollInterval);
    this->EndRequest(request);
    co_return;
  }
  const std::vector<std::string> homes = this->channel->Directory().VmsFor(
      organisation, kHomesPerOrganisation, Now());
  bool found = false;
  // Whether a home has tokens that its rate limit has not released yet.
  bool rate_limited = false;
  for (const std::string& vm : homes) {
    if (vm == this->channel->Vm()) {
      if (this->stopping) continue;
      if (vm == homes.front()) {
        budgets.ActAsHome(organisation, Now() + kHomeRetention);
      }
      break;
    }
    found = co_await this->RequestFromPeer(vm, organisation, needed);
    if (found) break;
    rate_limited =
        rate_limited ||
        (request.replied && request.status == TransferStatus::kRateLimited);
  }
  if (!found && needed > 0) {
    const TimePoint deadline = Now() + kRequestTimeout;
    const BudgetVerdict verdict =
        budgets.DrawAsFallback(organisation, needed, Now());
    if (verdict == BudgetVerdict::kLimitTooLow) {
      this->context.budget_sync->WakeNow();
      co_await this->WaitForWake(request, deadline);
    } else {
      const bool waits = rate_limited && verdict != BudgetVerdict::kExhausted;
      this->CacheRefusal(request,
                         waits ? TransferStatus::kRateLimited
                               : StatusFor(verdict, budgets.Reachable()));
    }
  }
  this->EndRequest(request);
}

// Returns true when the peer gave tokens or reported that none are left, false
// when the next home should be asked. That includes a peer that replies
// kRateLimited: it may have lost the store while others still reach it.
http::Task<bool> TokenBroker::RequestFromPeer(const std::string& vm,
                                              const std::string& organisation,
                                              std::int64_t needed) {
  PeerRequest& request = this->peer_requests[organisation];
  BudgetManager& budgets = this->context.core->Budgets();
  BudgetMessage message = this->NewMessage(BudgetMessageKind::kTransferRequest,
                                           this->NewId(), organisation);
  message.min_amount = needed;
  message.amount = needed + budgets.WantedGift(organisation);
  request.request_id = message.id;
  request.replied = false;
  for (int i = 0; i < kRequestAttempts && !request.replied; ++i) {
    if (!this->channel->Send(vm, message)) co_return false;
    co_await this->WaitForWake(request, Now() + kRequestTimeout);
  }
  if (!request.replied) {
    this->channel->Directory().OnTimeout(vm, Now());
    co_return false;
  }
  if (request.status == TransferStatus::kTransferred) co_return true;
  if (request.status == TransferStatus::kRateLimited) co_return false;
  // The gifts left here are too small for this request. Returned to the home,
  // they may add up to enough for another.
  this->SendTransfer(vm, request.replied_by, organisation,
                     budgets.WithdrawUnreservedGifts(organisation));
  if (request.status == TransferStatus::kUnavailable) co_return false;
  this->CacheRefusal(request, request.status);
  co_return true;
}

void TokenBroker::OnMessage(const BudgetMessage& message) {
  if (message.kind == BudgetMessageKind::kTransfer) {
    this->OnTransfer(message);
    return;
  }
  for (const SentReply& reply : this->recent_replies) {
    if (reply.request_id != message.id) continue;
    this->channel->Send(message.sender, reply.message);
    return;
  }
  if (!this->requests_in_progress.insert(message.id).second) return;
  Spawn(this->context, "budget_answer", this->ReplyToPeer(message),
        [this, id = message.id] { this->requests_in_progress.erase(id); });
}

// Credits a transfer even when no request waits for it any more.
void TokenBroker::OnTransfer(const BudgetMessage& transfer) {
  if (transfer.receiver_incarnation != this->incarnation) return;
  const bool is_new = transfer.amount > 0 &&
                      this->gift_deduplicator.Accept(
                          transfer.id, transfer.receiver_incarnation, Now());
  if (is_new) {
    this->context.core->Budgets().AddGift(transfer.organisation,
                                          transfer.amount);
    this->context.metrics->Add(Counter::kTokensReceived, transfer.amount);
  }
  PeerRequest& request = this->peer_requests[transfer.organisation];
  if (request.request_id == transfer.id) {
    request.replied = true;
    request.replied_by = transfer.sender_incarnation;
    request.status = transfer.status;
  }
  this->WakeWaiters(request);
}

http::Task<void> TokenBroker::ReplyToPeer(BudgetMessage request) {
  BudgetManager& budgets = this->context.core->Budgets();
  const TimePoint deadline = Now() + kReplyTimeout;
  // As second choice, this VM draws no more than this request needs.
  const bool is_primary = this->IsPrimaryHome(request.organisation);
  if (is_primary) {
    budgets.ActAsHome(request.organisation, Now() + kHomeRetention);
  }
  BudgetMessage transfer = this->NewMessage(BudgetMessageKind::kTransfer,
                                            request.id, request.organisation);
  transfer.receiver_incarnation = request.sender_incarnation;
  http::Timer timer(*this->context.io);
  while (true) {
    transfer.amount = budgets.Give(request.organisation, request.min_amount,
                                   request.amount, Now());
    const bool enough = transfer.amount > 0 || request.min_amount == 0;
    if (enough) break;
    const BudgetVerdict verdict =
        budgets.VerdictFor(request.organisation, request.min_amount, Now());
    const bool write_may_help = verdict == BudgetVerdict::kLimitTooLow ||
                                verdict == BudgetVerdict::kRateLimited;
    const bool waits =
        write_may_help && budgets.Reachable() && Now() < deadline;
    if (!waits) {
      transfer.status = StatusFor(verdict, budgets.Reachable());
      if (transfer.status == TransferStatus::kExhausted) {
        this->LogExhausted(request.organisation, request.min_amount);
      }
      break;
    }
    if (!budgets.IsBusy(request.organisation)) {
      if (is_primary) {
        budgets.AddShortfall(request.organisation, request.min_amount);
      } else if (!this->stopping) {
        budgets.DrawAsFallback(request.organisation, request.min_amount, Now());
      }
      this->context.budget_sync->WakeNow();
    }
    timer.expires_after(kPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
  this->context.metrics->Add(Counter::kTokensGiven, transfer.amount);
  this->requests_in_progress.erase(request.id);
  this->recent_replies.push_back({request.id, transfer});
  if (this->recent_replies.size() > kMaxRecentReplies) {
    this->recent_replies.pop_front();
  }
  this->channel->Send(request.sender, transfer);
}

void TokenBroker::LogExhausted(const std::string& organisation,
                               std::int64_t needed) {
  const TimePoint now = Now();
  TimePoint& next_log = this->peer_requests[organisation].next_log;
  if (now < next_log) return;
  next_log = now + kExhaustedLogInterval;
  std::string fields = KeyValue("outcome", "exhausted");
  fields += ' ' + KeyValue("organisation", organisation);
  fields +=
      ' ' +
      this->context.core->Budgets().Figures(organisation).LogFields(needed);
  this->context.log->Write(LogKind::kBudget, fields, now);
}

// Transfers tokens to a peer, or credits them to this VM if the message can't
// be sent.
void TokenBroker::SendTransfer(const std::string& vm, std::uint64_t receiver,
                               const std::string& organisation,
                               std::int64_t amount) {
  if (amount <= 0) return;
  BudgetMessage transfer = this->NewMessage(BudgetMessageKind::kTransfer,
                                            this->NewId(), organisation);
  transfer.receiver_incarnation = receiver;
  transfer.amount = amount;
  if (!this->channel->Send(vm, transfer)) {
    this->context.core->Budgets().AddGift(organisation, amount);
    return;
  }
  Spawn(this->context, "budget_gift", this->ResendTransfer(vm, transfer));
}

http::Task<void> TokenBroker::ResendTransfer(std::string vm,
                                             BudgetMessage transfer) {
  http::Timer timer(*this->context.io);
  for (int i = 1; i < kTransferSends; ++i) {
    timer.expires_after(kTransferResendInterval);
    co_await timer.async_wait(http::kAwait);
    this->channel->Send(vm, transfer);
  }
}

bool TokenBroker::IsPrimaryHome(const std::string& organisation) const {
  return !this->stopping &&
         this->channel->Directory().VmsFor(organisation, 1, Now()).front() ==
             this->channel->Vm();
}

// Empty when this VM is alone.
std::string TokenBroker::FirstOtherHome(const std::string& organisation) const {
  for (std::string& vm : this->channel->Directory().VmsFor(
           organisation, kHomesPerOrganisation, Now())) {
    if (vm != this->channel->Vm()) return std::move(vm);
  }
  return {};
}

// Sends unused gifts to the organisation's home. While the store is
// unreachable, also sends what this VM's share has left, since peers request
// tokens only from the homes. The home must reply to a request first, because
// tokens sent to a dead VM are lost.
http::Task<void> TokenBroker::HandOver(std::string organisation) {
  BudgetManager& budgets = this->context.core->Budgets();
  PeerRequest& request = this->peer_requests[organisation];
  const std::string vm = this->FirstOtherHome(organisation);
  const bool gives_share = !budgets.Reachable();
  const std::int64_t excess = budgets.ExcessGifts(organisation);
  const std::int64_t share =
      gives_share ? budgets.AvailableShare(organisation, Now()) : 0;
  if (vm.empty() || request.in_flight || excess + share <= 0) co_return;
  request.in_flight = true;
  const bool replied = co_await this->RequestFromPeer(vm, organisation, 0);
  this->EndRequest(request);
  if (!replied) co_return;
  const std::uint64_t receiver = request.replied_by;
  this->SendTransfer(vm, receiver, organisation,
                     budgets.WithdrawExcessGifts(organisation));
  if (!gives_share || budgets.Reachable()) co_return;
  this->SendTransfer(vm, receiver, organisation,
                     budgets.GiveAll(organisation, Now()));
}

void TokenBroker::StartHandOver(const std::string& organisation) {
  PeerRequest& request = this->peer_requests[organisation];
  const bool in_flight = request.in_flight;
  Spawn(this->context, "budget_hand_over", this->HandOver(organisation),
        [this, &request, in_flight] {
          if (!in_flight) this->EndRequest(request);
        });
}

void TokenBroker::StopActingAsHome() {
  this->stopping = true;
  this->context.core->Budgets().StopActingAsHome();
  this->context.budget_sync->WakeNow();
}

void TokenBroker::ReturnGifts() {
  for (const std::string& organisation :
       this->context.core->Budgets().Organisations()) {
    this->StartHandOver(organisation);
  }
}

void TokenBroker::RefreshHomes() {
  if (!this->channel->Ready()) return;
  BudgetManager& budgets = this->context.core->Budgets();
  for (const std::string& organisation : budgets.Organisations()) {
    if (this->IsPrimaryHome(organisation)) {
      budgets.ActAsHome(organisation, Now() + kHomeRetention);
      continue;
    }
    this->StartHandOver(organisation);
  }
}

http::Task<void> TokenBroker::RefreshHomesPeriodically() {
  http::Timer timer(*this->context.io);
  while (true) {
    this->RefreshHomes();
    timer.expires_after(kRefreshInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

}  // namespace hornbeamspool::gateway
