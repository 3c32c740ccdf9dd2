#include "http/client_memory.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

#include "http/clock.h"

namespace hornbeamspool::http {
namespace {

namespace net = boost::asio;

// How often holders are chosen to be given up while others wait.
constexpr coordination::Duration kSweepInterval =
    std::chrono::milliseconds(100);

}  // namespace

struct ClientMemory::State {
  State(net::io_context& io, const policy::MemoryLimits& limits)
      : io(&io), account(limits) {}

  // Resumes the holders whose wait has ended.
  void ResumeGranted() {
    for (const policy::MemoryAccount::Id id : this->account.TakeGranted()) {
      EndWait(*this->holders.at(id));
    }
  }
  // Also ends a wait that has not begun.
  static void EndWait(Holder& holder) {
    holder.granted.expires_at(std::chrono::steady_clock::time_point::min());
  }

  net::io_context* io;
  policy::MemoryAccount account;
  std::map<policy::MemoryAccount::Id, Holder*> holders;
  bool sweeping = false;
};

ClientMemory::ClientMemory(net::io_context& io,
                           const policy::MemoryLimits& limits)
    : state(std::make_shared<State>(io, limits)) {}

std::size_t ClientMemory::Reserved() const {
  return static_cast<std::size_t>(this->state->account.Reserved());
}

// Returns when no holder waits. The next wait starts a new sweep.
Task<void> ClientMemory::Sweep(std::shared_ptr<State> state) {
  Timer timer(*state->io);
  while (state->account.HasWaiting()) {
    timer.expires_after(kSweepInterval);
    co_await timer.async_wait(kAwait);
    std::vector<policy::MemoryAccount::Id> ended;
    for (const auto id : state->account.Waiting()) {
      if (state->holders.at(id)->client_left()) ended.push_back(id);
    }
    if (ended.empty()) ended = state->account.ChooseToGiveUp(Now());
    for (const auto id : ended) {
      Holder& holder = *state->holders.at(id);
      state->account.CancelWait(id);
      state->account.SetMayGiveUp(id, false, Now());
      holder.given_up = true;
      State::EndWait(holder);
      holder.give_up();
    }
    state->ResumeGranted();
  }
  state->sweeping = false;
}

ClientMemory::Holder::Holder(ClientMemory& memory,
                             std::function<void()> give_up,
                             std::function<bool()> client_left)
    : state(memory.state),
      give_up(std::move(give_up)),
      client_left(std::move(client_left)),
      id(this->state->account.Add(Now())),
      granted(*this->state->io) {
  this->state->holders.emplace(this->id, this);
}

ClientMemory::Holder::~Holder() {
  this->state->holders.erase(this->id);
  this->state->account.Remove(this->id);
  this->state->ResumeGranted();
}

bool ClientMemory::Holder::TryResize(std::size_t bytes) {
  if (!this->state->account.TryResize(this->id,
                                      static_cast<std::int64_t>(bytes))) {
    return false;
  }
  this->bytes = bytes;
  this->state->ResumeGranted();
  return true;
}

bool ClientMemory::Holder::TryAddForAnswer(std::size_t more) {
  const std::size_t sum = this->bytes + more;
  if (!this->state->account.TryResizeForAnswer(
          this->id, static_cast<std::int64_t>(sum))) {
    return false;
  }
  this->bytes = sum;
  return true;
}

Task<bool> ClientMemory::Holder::Resize(std::size_t bytes) {
  if (this->given_up) co_return false;
  if (this->TryResize(bytes)) co_return true;
  this->granted.expires_at(std::chrono::steady_clock::time_point::max());
  this->state->account.Wait(this->id, static_cast<std::int64_t>(bytes), Now());
  this->state->ResumeGranted();
  if (!this->state->sweeping) {
    this->state->sweeping = true;
    net::co_spawn(*this->state->io, Sweep(this->state), net::detached);
  }
  boost::system::error_code ignored;
  co_await this->granted.async_wait(net::redirect_error(kAwait, ignored));
  if (this->given_up) co_return false;
  this->bytes = bytes;
  this->SetMayGiveUp(true);
  co_return true;
}

void ClientMemory::Holder::OnProgress(std::size_t bytes) {
  this->state->account.OnProgress(this->id, static_cast<std::int64_t>(bytes),
                                  Now());
}

void ClientMemory::Holder::SetMayGiveUp(bool may_give_up) {
  if (this->given_up) return;
  this->state->account.SetMayGiveUp(this->id, may_give_up, Now());
}

}  // namespace hornbeamspool::http
