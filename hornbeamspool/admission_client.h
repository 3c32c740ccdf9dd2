// Asynchronous admission requests from the callers' listener to the router's
// thread.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "hornbeamspool/spsc_queue.h"
#include "http/task.h"
#include "policy/messages.h"

namespace hornbeamspool::http {
struct Response;
}

namespace hornbeamspool {

// Sends requests for admission to the router's thread and resumes the coroutine
// that awaits each reply. Used on the listener's thread only.
class AdmissionClient {
 public:
  // New admission requests leave `reserved_slots` slots of `to_router` free, so
  // that there is always room for retries and completions.
  AdmissionClient(boost::asio::io_context& io,
                  SpscQueue<policy::ListenerMessage>& to_router,
                  std::size_t reserved_slots);

  // Requests admission. Replies `overloaded` without waiting when the queue
  // has no slot for a new request.
  http::Task<policy::AdmissionReply> RequestAdmission(
      policy::AdmissionRequest request);
  // Requests another upstream for an admitted request whose last attempt
  // failed. The correlation id of `retry` is set here.
  http::Task<policy::AdmissionReply> Retry(policy::RetryRequest retry);
  // Reports that the first event of an answer has arrived.
  void ReportAnswerBegun(std::uint64_t reservation);
  // Reports the end of a reservation, stamped with the wall-clock time.
  void Complete(policy::Completion completion);

  // Reports the rate limit in the head of an upstream's answer to a request
  // that was sent at `sent_at`.
  void ReportAnswer(const policy::Admitted& admitted,
                    const http::Response& head,
                    coordination::TimePoint sent_at);

  // Resumes the coroutine that awaits this reply. Replies that nobody awaits
  // are ignored.
  void Deliver(policy::AdmissionReply reply);

 private:
  struct PendingReply;
  http::Task<policy::AdmissionReply> AwaitReply(std::uint64_t correlation_id);

  boost::asio::io_context* io;
  SpscQueue<policy::ListenerMessage>* to_router;
  std::size_t reserved_slots;
  std::uint64_t next_correlation_id = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingReply>>
      pending_replies;
};

// Scope guard that reports the completion of a reservation exactly once, even
// when the coroutine that owns the guard is destroyed early.
class ReservationGuard {
 public:
  ReservationGuard(AdmissionClient& admission_client, std::uint64_t reservation,
                   policy::CompletionOutcome default_outcome);
  ReservationGuard(const ReservationGuard&) = delete;
  ReservationGuard& operator=(const ReservationGuard&) = delete;
  ~ReservationGuard();

  // Sets the outcome that the destructor reports if Complete was not called.
  void SetDefaultOutcome(policy::CompletionOutcome outcome) {
    this->completion.outcome = outcome;
  }
  // The completion to be reported, to add usage or an answer to.
  policy::Completion& MutableCompletion() { return this->completion; }
  // Reports the completion now. Later calls do nothing.
  void Complete(policy::CompletionOutcome outcome);
  // Reports nothing: the router ends or continues the reservation itself.
  void Release() { this->open = false; }

 private:
  AdmissionClient* admission_client;
  policy::Completion completion;
  bool open = true;
};

}  // namespace hornbeamspool
