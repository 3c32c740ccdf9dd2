// Group membership by gossip: each process keeps a view of its peers, updated
// by heartbeats that carry a bounded sample of the sender's view.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"

namespace hornbeamspool::coordination {

enum class MemberState : std::uint8_t { kAlive, kLeaving, kSuspect, kCount };

// Name shown to operators: "alive", "leaving" or "suspect".
std::string_view MemberStateName(MemberState state);

// What a member reports about itself. `incarnation` increases with every start
// of the process, `beat` with every heartbeat of one incarnation.
struct MemberReport {
  std::string name;
  std::string availability_zone;
  std::string peer_address;      // host:port of the UDP socket
  std::string operator_address;  // host:port of the listener for operators
  std::uint64_t incarnation = 0;
  std::uint64_t beat = 0;
  std::uint64_t config_epoch = 0;
  bool leaving = false;
};

// A peer as this process sees it.
struct Member {
  MemberReport report;      // the newest
  TimePoint advanced_at{};  // when this process received it
  MemberState state = MemberState::kAlive;
};

// Timeouts since the last newer report of a member.
struct MemberTiming {
  Duration suspect_after = std::chrono::seconds(3);
  Duration forget_after = std::chrono::minutes(10);
};

// One process's view of the group's members.
class MemberView {
 public:
  explicit MemberView(MemberTiming timing) : timing(timing) {}

  // Merges a report. Returns whether it was newer than the known one of that
  // member; older and repeated reports are ignored.
  bool Observe(const MemberReport& report, TimePoint now);

  // Updates states by the timeouts: members become suspect, and are forgotten
  // later. Returns the names of remaining members whose state changed.
  std::vector<std::string> Advance(TimePoint now);

  // Up to `limit` reports to send with the next heartbeat. Successive calls go
  // round-robin through the whole view.
  std::vector<MemberReport> Sample(std::size_t limit);

  const std::map<std::string, Member, std::less<>>& Members() const {
    return this->members;
  }
  std::size_t CountAlive() const;

 private:
  MemberState StateAt(const Member& member, TimePoint now) const;

  MemberTiming timing;
  std::map<std::string, Member, std::less<>> members;
  std::string sample_cursor;  // name of the member sampled last
};

}  // namespace hornbeamspool::coordination
