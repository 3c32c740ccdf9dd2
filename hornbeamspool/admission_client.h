// The listener's way to the decisions and back. Lives on the listener's
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

namespace hornbeamspool {

class AdmissionClient {
 public:
  // `reserved_slots` places of the ring are kept for retries and completions,
  // so that those always find room.
  AdmissionClient(boost::asio::io_context& io,
                  SpscQueue<policy::ListenerMessage>& to_router,
                  std::size_t reserved_slots);

  // Asks for admission. A full ring is answered with `overloaded`.
  http::Task<policy::AdmissionReply> RequestAdmission(
      policy::AdmissionRequest request);
  // Asks for another upstream.
  http::Task<policy::AdmissionReply> Retry(std::uint64_t reservation,
                                           bool reached);
  void Complete(policy::Completion completion);

  // Hands a reply to the coroutine that waits for it.
  void Deliver(policy::AdmissionReply reply);

 private:
  struct PendingReply;
  http::Task<policy::AdmissionReply> AwaitReply(std::uint64_t ticket);

  boost::asio::io_context* io;
  SpscQueue<policy::ListenerMessage>* to_router;
  std::size_t reserved_slots;
  std::uint64_t next_ticket = 1;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingReply>>
      pending_replies;
};

// Ends a reservation exactly once, whatever becomes of the coroutine that
// holds it.
class ReservationGuard {
 public:
  ReservationGuard(AdmissionClient& admission_client, std::uint64_t reservation,
                   policy::CompletionOutcome default_outcome);
  ReservationGuard(const ReservationGuard&) = delete;
  ReservationGuard& operator=(const ReservationGuard&) = delete;
  ~ReservationGuard();

  // What is reported when the coroutine ends without a word.
  void SetDefaultOutcome(policy::CompletionOutcome outcome) {
    this->completion.outcome = outcome;
  }
  policy::Completion& MutableCompletion() { return this->completion; }
  void Complete(policy::CompletionOutcome outcome);
  // The reservation is ended by the decisions themselves.
  void Release() { this->open = false; }

 private:
  AdmissionClient* admission_client;
  policy::Completion completion;
  bool open = true;
};

}  // namespace hornbeamspool
