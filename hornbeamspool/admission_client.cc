#include "hornbeamspool/admission_client.h"

#include <boost/asio/redirect_error.hpp>
#include <utility>

#include "hornbeamspool/clock.h"
#include "http/message.h"
#include "http/task.h"
#include "platform/request_headers.h"

namespace hornbeamspool {

namespace net = boost::asio;

struct AdmissionClient::PendingReply {
  explicit PendingReply(net::io_context& io)
      : ready(io, http::Timer::time_point::max()) {}
  http::Timer ready;
  std::optional<policy::AdmissionReply> reply;
};

AdmissionClient::AdmissionClient(net::io_context& io,
                                 SpscQueue<policy::ListenerMessage>& to_router,
                                 std::size_t reserved_slots)
    : io(&io), to_router(&to_router), reserved_slots(reserved_slots) {}

http::Task<policy::AdmissionReply> AdmissionClient::RequestAdmission(
    policy::AdmissionRequest request) {
  const std::uint64_t correlation_id = this->next_correlation_id++;
  request.correlation_id = correlation_id;
  const bool has_slot = this->to_router->FreeSlots() > this->reserved_slots;
  if (!has_slot || !this->to_router->TryPush(std::move(request))) {
    co_return policy::AdmissionReply{
        correlation_id,
        policy::Refused{policy::ErrorKind::kOverloaded, {}, {}}};
  }
  co_return co_await this->AwaitReply(correlation_id);
}

http::Task<policy::AdmissionReply> AdmissionClient::Retry(
    policy::RetryRequest retry) {
  retry.correlation_id = this->next_correlation_id++;
  this->to_router->TryPush(retry);
  co_return co_await this->AwaitReply(retry.correlation_id);
}

// Without a free slot the completion tells that the request was answered.
void AdmissionClient::ReportAnswerBegun(std::uint64_t reservation) {
  if (this->to_router->FreeSlots() <= this->reserved_slots) return;
  this->to_router->TryPush(policy::AnswerBegun{reservation});
}

void AdmissionClient::Complete(policy::Completion completion) {
  completion.wall_us = WallNow().time_since_epoch().count();
  this->to_router->TryPush(std::move(completion));
}

void AdmissionClient::ReportAnswer(const policy::Admitted& admitted,
                                   const http::Response& head,
                                   coordination::TimePoint sent_at) {
  policy::UpstreamAnswer answer;
  answer.instance = admitted.instance;
  answer.rate = platform::DecodeAnnouncedRate(head);
  answer.backoff = platform::DecodeAnnouncedBackoff(head);
  answer.sent_at = sent_at;
  const bool news = admitted.rate_limited || admitted.tries_pause ||
                    answer.backoff.Any() ||
                    answer.rate.kind != policy::AnnouncedRate::Kind::kUnlimited;
  // Without a free slot the next answer reports it.
  if (!news || this->to_router->FreeSlots() <= this->reserved_slots) return;
  this->to_router->TryPush(std::move(answer));
}

http::Task<policy::AdmissionReply> AdmissionClient::AwaitReply(
    std::uint64_t correlation_id) {
  auto pending = std::make_shared<PendingReply>(*this->io);
  this->pending_replies.emplace(correlation_id, pending);
  while (!pending->reply) {
    boost::system::error_code ignored;
    co_await pending->ready.async_wait(
        net::redirect_error(http::kAwait, ignored));
  }
  co_return std::move(*pending->reply);
}

void AdmissionClient::Deliver(policy::AdmissionReply reply) {
  const auto found = this->pending_replies.find(reply.correlation_id);
  if (found == this->pending_replies.end()) return;
  found->second->reply = std::move(reply);
  found->second->ready.cancel();
  this->pending_replies.erase(found);
}

ReservationGuard::ReservationGuard(AdmissionClient& admission_client,
                                   std::uint64_t reservation,
                                   policy::CompletionOutcome default_outcome)
    : admission_client(&admission_client) {
  this->completion.reservation = reservation;
  this->completion.outcome = default_outcome;
}

ReservationGuard::~ReservationGuard() {
  if (this->open) this->admission_client->Complete(std::move(this->completion));
}

void ReservationGuard::Complete(policy::CompletionOutcome outcome) {
  if (!this->open) return;
  this->open = false;
  this->completion.outcome = outcome;
  this->admission_client->Complete(std::move(this->completion));
}

}  // namespace hornbeamspool
