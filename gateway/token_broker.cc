#include "gateway/token_broker.h"

#include <algorithm>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <utility>

#include "gateway/budget_keeper.h"
#include "gateway/peer_channel.h"
#include "gateway/spawn.h"
#include "hornbeamspool/clock.h"
#include "hornbeamspool/metrics.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::BudgetDesk;
using policy::BudgetVerdict;
using transport::BudgetMessage;
using transport::BudgetMessageKind;
using transport::GiftNote;

// VMs that keep an organisation's tokens, one after the other.
constexpr std::size_t kHomes = 2;

// A VM keeps tokens for this long after it was last the first choice, or was
// asked.
constexpr Duration kHomeTime = std::chrono::seconds(4);

// An ask is sent again after this time, and its peer taken as silent after the
// second. A round trip within a region takes 3 ms, and a write to the store on
// the way 10 ms.
constexpr Duration kAskTime = std::chrono::milliseconds(40);
constexpr int kAskTries = 2;

// How long a peer tries to find what it was asked for.
constexpr Duration kAnswerTime = std::chrono::milliseconds(30);
constexpr Duration kAnswerLook = std::chrono::milliseconds(5);

// A refusal holds for this long; then the peer is asked again.
constexpr Duration kRefusalTime = std::chrono::milliseconds(250);

// A home whose pace allows no more for now is asked again after this time.
constexpr Duration kSoonTime = std::chrono::milliseconds(60);

// Gifts that no request needs go back after a look of this length.
constexpr Duration kMaintainTime = std::chrono::milliseconds(500);

// A gift that nobody asked for is sent this often, at this distance: nothing
// tells whether its datagram arrived, and it counts once.
constexpr int kGiftSends = 3;
constexpr Duration kGiftPause = std::chrono::milliseconds(60);

// Gifts that are remembered, for asks that come twice.
constexpr std::size_t kRemembered = 512;

GiftNote NoteFor(BudgetVerdict verdict, bool reachable) {
  if (verdict == BudgetVerdict::kPaced) return GiftNote::kSoon;
  if (verdict == BudgetVerdict::kExhausted) return GiftNote::kExhausted;
  if (verdict == BudgetVerdict::kHeld) return GiftNote::kHeld;
  // A write that takes its time may bring some.
  return reachable ? GiftNote::kSoon : GiftNote::kUnavailable;
}

BudgetVerdict VerdictOf(GiftNote note) {
  if (note == GiftNote::kSoon) return BudgetVerdict::kPaced;
  if (note == GiftNote::kExhausted) return BudgetVerdict::kExhausted;
  return BudgetVerdict::kHeld;
}

}  // namespace

TokenBroker::TokenBroker(const Context& context, PeerChannel& channel,
                         std::uint64_t incarnation)
    : context(context),
      channel(&channel),
      random(std::random_device{}()),
      incarnation(incarnation),
      taken(incarnation) {}

void TokenBroker::Start() {
  SpawnDuty(this->context, "homes", [this] { return this->Maintain(); });
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

void TokenBroker::Wake(Search& search) {
  for (http::Timer* timer : search.waiters) timer->cancel();
}

// Until somebody wakes the search, or `until`.
http::Task<void> TokenBroker::WaitForNews(Search& search, TimePoint until) {
  http::Timer timer(*this->context.io);
  timer.expires_at(until);
  search.waiters.insert(&timer);
  boost::system::error_code woken;
  co_await timer.async_wait(boost::asio::redirect_error(http::kAwait, woken));
  search.waiters.erase(&timer);
}

void TokenBroker::OnShareChanged() {
  for (auto& [organisation, search] : this->searches) this->Wake(search);
}

http::Task<BudgetVerdict> TokenBroker::Find(std::string organisation,
                                            std::int64_t amount,
                                            TimePoint until) {
  Search& search = this->searches[organisation];
  const TimePoint now = Now();
  const bool soon = search.note == GiftNote::kSoon;
  if (search.refused_until > now && soon) {
    co_await this->WaitForNews(search, std::min(until, search.refused_until));
    co_return BudgetVerdict::kPaced;
  }
  if (search.refused_until > now) co_return VerdictOf(search.note);
  if (!search.asking) this->StartAsk(organisation, amount);
  co_await this->WaitForNews(search, until);
  if (search.refused_until > Now()) co_return VerdictOf(search.note);
  co_return BudgetVerdict::kReserved;
}

void TokenBroker::Replenish(const std::string& organisation) {
  Search& search = this->searches[organisation];
  const TimePoint now = Now();
  if (search.asking || search.refused_until > now) return;
  if (!this->channel->Ready()) return;
  if (this->IsFirstHome(organisation)) {
    this->context.core->Budgets().KeepHome(organisation, now + kHomeTime);
    return;
  }
  if (this->context.core->Budgets().WantedGift(organisation) <= 0) return;
  this->StartAsk(organisation, 0);
}

void TokenBroker::StartAsk(const std::string& organisation,
                           std::int64_t needed) {
  Search& search = this->searches[organisation];
  search.asking = true;
  Spawn(this->context, "budget_ask", this->Ask(organisation, needed),
        [this, &search] { this->EndSearch(search); });
}

// The note holds for a while: nobody asks meanwhile.
void TokenBroker::Refuse(Search& search, GiftNote note) {
  search.note = note;
  search.refused_until =
      Now() + (note == GiftNote::kSoon ? kSoonTime : kRefusalTime);
}

void TokenBroker::EndSearch(Search& search) {
  search.asking = false;
  this->Wake(search);
}

// Asks the organisation's homes in turn; this VM is the last resort.
http::Task<void> TokenBroker::Ask(std::string organisation,
                                  std::int64_t needed) {
  Search& search = this->searches[organisation];
  BudgetDesk& desk = this->context.core->Budgets();
  if (!this->channel->Ready()) {
    // A VM that knows no peers would take itself for every home.
    co_await this->WaitForNews(search, Now() + kAnswerLook);
    this->EndSearch(search);
    co_return;
  }
  const std::vector<std::string> homes =
      this->channel->Directory().HomesOf(organisation, kHomes, Now());
  bool found = false;
  bool soon = false;  // a home has some
  for (const std::string& vm : homes) {
    if (vm == this->channel->Vm()) {
      if (this->leaving) continue;
      if (vm == homes.front()) desk.KeepHome(organisation, Now() + kHomeTime);
      break;
    }
    found = co_await this->AskPeer(vm, organisation, needed);
    if (found) break;
    soon = soon || (search.answered && search.note == GiftNote::kSoon);
  }
  if (!found && needed > 0) {
    const TimePoint give_up = Now() + kAskTime;
    const BudgetVerdict verdict = desk.StandIn(organisation, needed, Now());
    if (verdict == BudgetVerdict::kLacking) {
      this->context.budget_keeper->Kick();
      co_await this->WaitForNews(search, give_up);
    } else {
      const bool waits = soon && verdict != BudgetVerdict::kExhausted;
      this->Refuse(
          search, waits ? GiftNote::kSoon : NoteFor(verdict, desk.Reachable()));
    }
  }
  this->EndSearch(search);
}

// True when the peer gave something, or said for good that nothing is left. One
// that will have some soon may be cut off from the store, which others reach.
http::Task<bool> TokenBroker::AskPeer(const std::string& vm,
                                      const std::string& organisation,
                                      std::int64_t needed) {
  Search& search = this->searches[organisation];
  BudgetDesk& desk = this->context.core->Budgets();
  BudgetMessage ask =
      this->NewMessage(BudgetMessageKind::kAsk, this->NewId(), organisation);
  ask.needed = needed;
  ask.amount = needed + desk.WantedGift(organisation);
  search.ask_id = ask.id;
  search.answered = false;
  for (int i = 0; i < kAskTries && !search.answered; ++i) {
    if (!this->channel->Send(vm, ask)) co_return false;
    co_await this->WaitForNews(search, Now() + kAskTime);
  }
  if (!search.answered) {
    this->channel->Directory().OnTimeout(vm, Now());
    co_return false;
  }
  if (search.note == GiftNote::kGiven) co_return true;
  if (search.note == GiftNote::kSoon) co_return false;
  // What is left here is too little for this request; at the home it may add
  // up to enough for another.
  this->SendGift(vm, search.answered_by, organisation,
                 desk.WithdrawFreeGift(organisation));
  if (search.note == GiftNote::kUnavailable) co_return false;
  this->Refuse(search, search.note);
  co_return true;
}

void TokenBroker::OnMessage(const BudgetMessage& message) {
  if (message.kind == BudgetMessageKind::kGift) {
    this->OnGift(message);
    return;
  }
  for (const SentGift& gift : this->sent) {
    if (gift.id != message.id) continue;
    this->channel->Send(message.sender, gift.message);
    return;
  }
  if (!this->answering.insert(message.id).second) return;
  Spawn(this->context, "budget_answer", this->Answer(message),
        [this, id = message.id] { this->answering.erase(id); });
}

// A gift counts also when nobody waits for it any more.
void TokenBroker::OnGift(const BudgetMessage& gift) {
  if (gift.receiver_incarnation != this->incarnation) return;
  const bool counts =
      gift.amount > 0 &&
      this->taken.Take(gift.id, gift.receiver_incarnation, Now());
  if (counts) {
    this->context.core->Budgets().TakeGift(gift.organisation, gift.amount);
    this->context.metrics->Add(Counter::kTokensReceived, gift.amount);
  }
  Search& search = this->searches[gift.organisation];
  if (search.ask_id == gift.id) {
    search.answered = true;
    search.answered_by = gift.sender_incarnation;
    search.note = gift.note;
  }
  this->Wake(search);
}

http::Task<void> TokenBroker::Answer(BudgetMessage ask) {
  BudgetDesk& desk = this->context.core->Budgets();
  const TimePoint give_up = Now() + kAnswerTime;
  // Asked as the second choice, this VM draws for the request alone.
  const bool first = this->IsFirstHome(ask.organisation);
  if (first) desk.KeepHome(ask.organisation, Now() + kHomeTime);
  BudgetMessage gift =
      this->NewMessage(BudgetMessageKind::kGift, ask.id, ask.organisation);
  gift.receiver_incarnation = ask.sender_incarnation;
  http::Timer timer(*this->context.io);
  while (true) {
    gift.amount = desk.Give(ask.organisation, ask.needed, ask.amount, Now());
    const bool enough = gift.amount > 0 || ask.needed == 0;
    if (enough) break;
    const BudgetVerdict verdict =
        desk.VerdictFor(ask.organisation, ask.needed, Now());
    const bool by_write =
        verdict == BudgetVerdict::kLacking || verdict == BudgetVerdict::kPaced;
    const bool waits = by_write && desk.Reachable() && Now() < give_up;
    if (!waits) {
      gift.note = NoteFor(verdict, desk.Reachable());
      break;
    }
    if (!desk.IsBusy(ask.organisation)) {
      if (first) {
        desk.NoteLacking(ask.organisation, ask.needed);
      } else if (!this->leaving) {
        desk.StandIn(ask.organisation, ask.needed, Now());
      }
      this->context.budget_keeper->Kick();
    }
    timer.expires_after(kAnswerLook);
    co_await timer.async_wait(http::kAwait);
  }
  this->context.metrics->Add(Counter::kTokensGiven, gift.amount);
  this->answering.erase(ask.id);
  this->sent.push_back({ask.id, gift});
  if (this->sent.size() > kRemembered) this->sent.pop_front();
  this->channel->Send(ask.sender, gift);
}

// Tokens that can't be sent stay here.
void TokenBroker::SendGift(const std::string& vm, std::uint64_t receiver,
                           const std::string& organisation,
                           std::int64_t amount) {
  if (amount <= 0) return;
  BudgetMessage gift =
      this->NewMessage(BudgetMessageKind::kGift, this->NewId(), organisation);
  gift.receiver_incarnation = receiver;
  gift.amount = amount;
  if (!this->channel->Send(vm, gift)) {
    this->context.core->Budgets().TakeGift(organisation, amount);
    return;
  }
  Spawn(this->context, "budget_gift", this->SendAgain(vm, gift));
}

http::Task<void> TokenBroker::SendAgain(std::string vm, BudgetMessage gift) {
  http::Timer timer(*this->context.io);
  for (int i = 1; i < kGiftSends; ++i) {
    timer.expires_after(kGiftPause);
    co_await timer.async_wait(http::kAwait);
    this->channel->Send(vm, gift);
  }
}

bool TokenBroker::IsFirstHome(const std::string& organisation) const {
  return !this->leaving &&
         this->channel->Directory().HomesOf(organisation, 1, Now()).front() ==
             this->channel->Vm();
}

// Empty when this VM is alone.
std::string TokenBroker::FirstOtherHome(const std::string& organisation) const {
  for (std::string& vm :
       this->channel->Directory().HomesOf(organisation, kHomes, Now())) {
    if (vm != this->channel->Vm()) return std::move(vm);
  }
  return {};
}

// Sends idle gifts to the organisation's home; while the store is away also the
// share of an organisation that is kept elsewhere, since nobody asks here for
// it. The home is asked first: what goes to a VM that has died is lost.
http::Task<void> TokenBroker::HandOver(std::string organisation) {
  BudgetDesk& desk = this->context.core->Budgets();
  Search& search = this->searches[organisation];
  const std::string vm = this->FirstOtherHome(organisation);
  const bool passes_on = !desk.Reachable();
  const std::int64_t idle = desk.IdleGift(organisation);
  const std::int64_t share =
      passes_on ? desk.ShareRoom(organisation, Now()) : 0;
  if (vm.empty() || search.asking || idle + share <= 0) co_return;
  search.asking = true;
  const bool alive = co_await this->AskPeer(vm, organisation, 0);
  this->EndSearch(search);
  if (!alive) co_return;
  const std::uint64_t receiver = search.answered_by;
  this->SendGift(vm, receiver, organisation,
                 desk.WithdrawIdleGift(organisation));
  if (!passes_on || desk.Reachable()) co_return;
  this->SendGift(vm, receiver, organisation, desk.GiveAll(organisation, Now()));
}

void TokenBroker::StartHandOver(const std::string& organisation) {
  Search& search = this->searches[organisation];
  const bool searched = search.asking;
  Spawn(this->context, "budget_hand_over", this->HandOver(organisation),
        [this, &search, searched] {
          if (!searched) this->EndSearch(search);
        });
}

void TokenBroker::Leave() {
  this->leaving = true;
  this->context.core->Budgets().LeaveHomes();
  this->context.budget_keeper->Kick();
}

void TokenBroker::ReturnGifts() {
  for (const std::string& organisation :
       this->context.core->Budgets().Organisations()) {
    this->StartHandOver(organisation);
  }
}

void TokenBroker::LookAtHomes() {
  if (!this->channel->Ready()) return;
  BudgetDesk& desk = this->context.core->Budgets();
  for (const std::string& organisation : desk.Organisations()) {
    if (this->IsFirstHome(organisation)) {
      desk.KeepHome(organisation, Now() + kHomeTime);
      continue;
    }
    this->StartHandOver(organisation);
  }
}

http::Task<void> TokenBroker::Maintain() {
  http::Timer timer(*this->context.io);
  while (true) {
    this->LookAtHomes();
    timer.expires_after(kMaintainTime);
    co_await timer.async_wait(http::kAwait);
  }
}

}  // namespace hornbeamspool::gateway
