// Messages between VMs about the rate limits that upstreams announce: what an
// upstream announced, and requests for permits to send to it.
#pragma once

#include <cstdint>
#include <string>

namespace hornbeamspool::policy {

// Sent as a number: keep the order.
enum class RateMessageKind : std::uint8_t {
  kAnnouncement,
  kPermitRequest,  // for one request to the instance
  kPermitVerdict,  // the reply to a permit request
  kQuery,          // asks for an announcement of each limited instance
  kCount
};

// All kinds but kQuery carry the latest announcement that the sender knows.
struct RateMessage {
  RateMessageKind kind = RateMessageKind::kAnnouncement;
  std::uint64_t id = 0;  // unique; a verdict carries its request's
  std::string sender;    // VM name
  std::string instance;  // of the upstream
  bool limited = false;
  double per_second = 0;    // the limit
  std::int64_t age_ms = 0;  // since the upstream announced it
  // Of a request: another VM that issues permits did not answer.
  bool failover = false;
  // Of a verdict.
  bool granted = false;
  std::int64_t next_permit_ms = 0;
  std::int64_t backlog_ms = 0;
};

}  // namespace hornbeamspool::policy
