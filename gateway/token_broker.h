// Obtains prepaid tokens from other VMs of the fleet and answers their
// requests.
//
// An organisation's tokens are drawn from the store by its home VMs, which
// PeerDirectory::VmsFor chooses. Every other VM requests tokens from a home by
// datagram, and the home replies with a transfer. The tokens leave the sender's
// account before the message is sent, and the receiver counts a message once,
// so that a lost one strands its tokens and never creates any. Tokens received
// by a transfer are gifts: the receiver accounts for them apart from its share.
#pragma once

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "coordination/time.h"
#include "gateway/context.h"
#include "http/task.h"
#include "policy/budget_manager.h"
#include "policy/gift_deduplicator.h"
#include "transport/budget_message.h"

namespace hornbeamspool::gateway {

class PeerChannel;

class TokenBroker {
 public:
  // `incarnation` identifies this process in messages.
  TokenBroker(const Context& context, PeerChannel& channel,
              std::uint64_t incarnation);
  TokenBroker(const TokenBroker&) = delete;
  TokenBroker& operator=(const TokenBroker&) = delete;

  // Starts the background task that refreshes the homes.
  void Start();
  // Prolongs this VM's role as home of the organisations for which it is the
  // first choice, and hands tokens of other organisations over to their homes.
  void RefreshHomes();

  // Requests `amount` tokens of the organisation and waits, at most until
  // `until`. Reserves nothing: kReserved means that the caller should try its
  // reservation again, kRateLimited that it should do so with a later deadline.
  // Any other verdict is the reason why there are no tokens.
  http::Task<policy::BudgetVerdict> WaitForTokens(
      std::string organisation, std::int64_t amount,
      coordination::TimePoint until);
  // Requests more tokens in the background when the gifts left at this VM are
  // below what its next requests are expected to need.
  void Prefetch(const std::string& organisation);

  // Handles a peer's request or transfer.
  void OnMessage(const transport::BudgetMessage& message);
  // Wakes all waiting requests after a write to the store has ended.
  void OnShareChanged();
  // Called when this VM is about to stop. It is no home from then on, and its
  // shares are returned to the store.
  void StopActingAsHome();
  // Starts sending the gifts that no request has reserved to the homes.
  void ReturnGifts();

 private:
  // The state of the requests for one organisation's tokens. At most one is in
  // flight.
  struct PeerRequest {
    bool in_flight = false;
    std::uint64_t request_id = 0;  // of the latest message
    bool replied = false;
    std::uint64_t replied_by = 0;  // the peer's incarnation
    transport::TransferStatus status =
        transport::TransferStatus::kTransferred;  // of the reply
    // Until then no request is sent and `status` is the answer.
    coordination::TimePoint refused_until{};
    coordination::TimePoint
        next_log{};  // of a reply that the budget is used up
    std::set<http::Timer*> waiters;
  };

  // A reply that is sent again when its request arrives again.
  struct SentReply {
    std::uint64_t request_id = 0;
    transport::BudgetMessage message;
  };

  void StartRequest(const std::string& organisation, std::int64_t needed);
  http::Task<void> RequestFromHomes(std::string organisation,
                                    std::int64_t needed);
  void EndRequest(PeerRequest& request);
  void CacheRefusal(PeerRequest& request, transport::TransferStatus status);
  http::Task<bool> RequestFromPeer(const std::string& vm,
                                   const std::string& organisation,
                                   std::int64_t needed);
  // Logs why this VM, as a home, replies that the budget is used up.
  void LogExhausted(const std::string& organisation, std::int64_t needed);
  http::Task<void> ReplyToPeer(transport::BudgetMessage request);
  http::Task<void> RefreshHomesPeriodically();
  void OnTransfer(const transport::BudgetMessage& transfer);
  void WakeWaiters(PeerRequest& request);
  http::Task<void> WaitForWake(PeerRequest& request,
                               coordination::TimePoint until);
  void SendTransfer(const std::string& vm, std::uint64_t receiver,
                    const std::string& organisation, std::int64_t amount);
  transport::BudgetMessage NewMessage(transport::BudgetMessageKind kind,
                                      std::uint64_t id,
                                      const std::string& organisation) const;
  void StartHandOver(const std::string& organisation);
  http::Task<void> HandOver(std::string organisation);
  http::Task<void> ResendTransfer(std::string vm,
                                  transport::BudgetMessage transfer);
  bool IsPrimaryHome(const std::string& organisation) const;
  std::string FirstOtherHome(const std::string& organisation) const;
  std::uint64_t NewId();

  Context context;
  PeerChannel* channel;
  std::map<std::string, PeerRequest, std::less<>> peer_requests;
  std::deque<SentReply> recent_replies;
  std::set<std::uint64_t> requests_in_progress;  // ids of peers' requests
  std::mt19937_64 random;
  std::uint64_t incarnation;
  policy::GiftDeduplicator gift_deduplicator;
  bool stopping = false;
};

}  // namespace hornbeamspool::gateway
