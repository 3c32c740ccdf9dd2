// Finds tokens for requests: from this VM's share where it keeps a
// organisation's tokens, from the VM that does otherwise. Answers peers that
// ask.
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
#include "policy/budget_desk.h"
#include "policy/gift_ledger.h"
#include "transport/budget_message.h"

namespace hornbeamspool::gateway {

class PeerChannel;

class TokenBroker {
 public:
  TokenBroker(const Context& context, PeerChannel& channel,
              std::uint64_t incarnation);
  TokenBroker(const TokenBroker&) = delete;
  TokenBroker& operator=(const TokenBroker&) = delete;

  void Start();
  // Keeps this VM a home where it is the first choice, and hands over what
  // belongs elsewhere.
  void LookAtHomes();

  // Waits until tokens may have come for `amount` of the organisation, or the
  // reason is known why they don't: kReserved says to try again, kPaced that
  // trying is worth a longer wait.
  http::Task<policy::BudgetVerdict> Find(std::string organisation,
                                         std::int64_t amount,
                                         coordination::TimePoint until);
  // Asks ahead of the next requests where gifts run low.
  void Replenish(const std::string& organisation);

  void OnMessage(const transport::BudgetMessage& message);
  // The store has answered a write: requests that wait may go on.
  void OnShareChanged();
  // This VM is about to stop: others keep the organisations' tokens from here
  // on.
  void Leave();
  // Gives every gift back.
  void ReturnGifts();

 private:
  // What is known of one organisation's search.
  struct Search {
    bool asking = false;
    std::uint64_t ask_id = 0;
    bool answered = false;
    std::uint64_t answered_by = 0;  // incarnation
    transport::GiftStatus note = transport::GiftStatus::kGiven;
    coordination::TimePoint refused_until{};  // `note` holds until then
    std::set<http::Timer*> waiters;
  };

  // A gift that was sent, for an ask that comes twice.
  struct SentGift {
    std::uint64_t id = 0;
    transport::BudgetMessage message;
  };

  void StartAsk(const std::string& organisation, std::int64_t needed);
  http::Task<void> Ask(std::string organisation, std::int64_t needed);
  void EndSearch(Search& search);
  void Refuse(Search& search, transport::GiftStatus note);
  http::Task<bool> AskPeer(const std::string& vm,
                           const std::string& organisation,
                           std::int64_t needed);
  http::Task<void> Answer(transport::BudgetMessage ask);
  http::Task<void> Maintain();
  void OnGift(const transport::BudgetMessage& gift);
  void Wake(Search& search);
  http::Task<void> WaitForNews(Search& search, coordination::TimePoint until);
  void SendGift(const std::string& vm, std::uint64_t receiver,
                const std::string& organisation, std::int64_t amount);
  transport::BudgetMessage NewMessage(transport::BudgetMessageKind kind,
                                      std::uint64_t id,
                                      const std::string& organisation) const;
  void StartHandOver(const std::string& organisation);
  http::Task<void> HandOver(std::string organisation);
  http::Task<void> SendAgain(std::string vm, transport::BudgetMessage gift);
  bool IsFirstHome(const std::string& organisation) const;
  std::string FirstOtherHome(const std::string& organisation) const;
  std::uint64_t NewId();

  Context context;
  PeerChannel* channel;
  std::map<std::string, Search, std::less<>> searches;
  std::deque<SentGift> sent;          // the latest, for repeated asks
  std::set<std::uint64_t> answering;  // asks in progress
  std::mt19937_64 random;
  std::uint64_t incarnation;
  policy::GiftLedger taken;
  bool leaving = false;
};

}  // namespace hornbeamspool::gateway
