// What the files of a randomised run share: the parts of its world.
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
// Of every request: no key is used for two of them.
inline constexpr std::uint64_t kFingerprint = 1;

struct RouterSimulation::Node {
  std::int64_t index = 0;
  std::string holder;                      // of the present start
  std::unique_ptr<policy::Router> router;  // null while dead
  coordination::TimePoint paused_until{};
  coordination::TimePoint partitioned_until{};  // from the table
  std::int64_t start_count = 0;
};

// A command on its way to the table, or a reply on its way back.
struct RouterSimulation::TableMessage {
  coordination::TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  policy::TableCommand command;
  policy::TableReply reply;
  bool is_reply = false;
  bool outcome_unknown = false;  // the sender is told that it does not know
};

// A request that an upstream runs.
struct RouterSimulation::RunningRequest {
  coordination::TimePoint due_at;
  std::size_t node = 0;
  std::string holder;
  policy::AdmissionRequest request;
  policy::Admitted admitted;
  std::string budget;
};

}  // namespace hornbeamspool::bench
