#include "hornbeamspool/decision_gate.h"

#include <boost/asio/redirect_error.hpp>
#include <utility>

#include "hornbeamspool/clock.h"
#include "http/task.h"

namespace hornbeamspool {

namespace net = boost::asio;

struct DecisionGate::Waiter {
  explicit Waiter(net::io_context& io)
      : ready(io, http::Timer::time_point::max()) {}
  http::Timer ready;
  std::optional<policy::AdmissionReply> reply;
};

DecisionGate::DecisionGate(net::io_context& io,
                           SpscQueue<policy::ListenerMessage>& to_decisions,
                           std::size_t reserved_slots)
    : io(&io), to_decisions(&to_decisions), reserved_slots(reserved_slots) {}

http::Task<policy::AdmissionReply> DecisionGate::Ask(
    policy::AdmissionRequest request) {
  const std::uint64_t ticket = this->next_ticket++;
  request.ticket = ticket;
  const bool room = this->to_decisions->FreeSlots() > this->reserved_slots;
  if (!room || !this->to_decisions->TryPush(std::move(request))) {
    co_return policy::AdmissionReply{
        ticket, policy::Refused{policy::ErrorKind::kOverloaded, {}, {}}};
  }
  co_return co_await this->WaitFor(ticket);
}

http::Task<policy::AdmissionReply> DecisionGate::Retry(
    std::uint64_t reservation, bool reached) {
  const std::uint64_t ticket = this->next_ticket++;
  this->to_decisions->TryPush(
      policy::RetryRequest{ticket, reservation, reached});
  co_return co_await this->WaitFor(ticket);
}

void DecisionGate::Complete(policy::Completion completion) {
  completion.wall_us = WallNow().time_since_epoch().count();
  this->to_decisions->TryPush(std::move(completion));
}

http::Task<policy::AdmissionReply> DecisionGate::WaitFor(std::uint64_t ticket) {
  auto waiter = std::make_shared<Waiter>(*this->io);
  this->waiters.emplace(ticket, waiter);
  while (!waiter->reply) {
    boost::system::error_code ignored;
    co_await waiter->ready.async_wait(
        net::redirect_error(http::kAwait, ignored));
  }
  co_return std::move(*waiter->reply);
}

void DecisionGate::Deliver(policy::AdmissionReply reply) {
  const auto found = this->waiters.find(reply.ticket);
  if (found == this->waiters.end()) return;
  found->second->reply = std::move(reply);
  found->second->ready.cancel();
  this->waiters.erase(found);
}

OpenReservation::OpenReservation(DecisionGate& gate, std::uint64_t reservation,
                                 policy::CompletionOutcome fallback)
    : gate(&gate) {
  this->completion.reservation = reservation;
  this->completion.outcome = fallback;
}

OpenReservation::~OpenReservation() {
  if (this->open) this->gate->Complete(std::move(this->completion));
}

void OpenReservation::Complete(policy::CompletionOutcome outcome) {
  if (!this->open) return;
  this->open = false;
  this->completion.outcome = outcome;
  this->gate->Complete(std::move(this->completion));
}

}  // namespace hornbeamspool
