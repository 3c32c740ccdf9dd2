// One process's view of its peers, fed by heartbeats that carry a bounded
// sample of the sender's own view.
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

// The word shown to operators.
std::string_view MemberStateName(MemberState state);

// What a member says of itself. `incarnation` grows with every start of the
// process, `beat` with every heartbeat.
struct MemberReport {
  std::string name;
  std::string availability_zone;
  std::string peer_address;      // host:port of the UDP socket
  std::string operator_address;  // host:port of the operators' listener
  std::uint64_t incarnation = 0;
  std::uint64_t beat = 0;
  std::uint64_t config_epoch = 0;
  bool leaving = false;
};

struct Member {
  MemberReport report;
  TimePoint advanced_at{};  // when `beat` last grew, at this process
  MemberState state = MemberState::kAlive;
};

struct MemberTiming {
  Duration suspect_after = std::chrono::seconds(3);
  Duration forget_after = std::chrono::minutes(10);
};

class MemberView {
 public:
  explicit MemberView(MemberTiming timing) : timing(timing) {}

  // Merges a report. Returns true when it was newer than what was known.
  bool Observe(const MemberReport& report, TimePoint now);

  // Re-computes states from silence and forgets members that were silent for
  // long. Returns the names whose state changed.
  std::vector<std::string> Advance(TimePoint now);

  // Up to `limit` reports, in turn over the whole view, for the next
  // heartbeat.
  std::vector<MemberReport> Sample(std::size_t limit);

  const std::map<std::string, Member, std::less<>>& Members() const {
    return this->members;
  }
  std::size_t CountAlive() const;

 private:
  MemberState StateAt(const Member& member, TimePoint now) const;

  MemberTiming timing;
  std::map<std::string, Member, std::less<>> members;
  std::string sample_cursor;
};

}  // namespace hornbeamspool::coordination
