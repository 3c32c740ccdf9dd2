// Private types of RouterSimulation, for the files that implement it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "bench/router_simulation.h"
#include "policy/messages.h"
#include "policy/table_messages.h"

namespace hornbeamspool::bench {

inline constexpr const char* kOrganisation = "organisation";
// The fingerprint of every request. Each request has its own key, so that
// fingerprints never differ under one key.
inline constexpr std::uint64_t kFingerprint = 1;

struct RouterSimulation::Node {
  std::int64_t index = 0;
  std::string holder;                      // name of the current incarnation
  std::unique_ptr<policy::Router> router;  // null after a crash
  coordination::TimePoint paused_until{};
  coordination::TimePoint partitioned_until{};  // from the table
  std::int64_t start_count = 0;
};

// A command in transit to the table, or a reply in transit back.
struct RouterSimulation::TableMessage {
  coordination::TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  policy::TableCommand command;
  policy::TableReply reply;
  bool is_reply = false;
  bool outcome_unknown = false;  // the sender gets kUnknown as the status
};

// A request at a router: waiting for admission, or running at an upstream.
struct RouterSimulation::ActiveRequest {
  coordination::TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  policy::AdmissionRequest request;
  policy::Admitted admitted;
  std::string budget;
};

}  // namespace hornbeamspool::bench
