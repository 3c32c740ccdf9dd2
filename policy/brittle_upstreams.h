// Upstreams that announce in their answers that they fall over when they must
// reject many requests for want of room. The fleet sends such an upstream no
// more requests at a time than it has slots: each VM keeps to its part of them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/time.h"
#include "policy/upstream_directory.h"

namespace hornbeamspool::policy {

class BrittleUpstreams {
 public:
  explicit BrittleUpstreams(std::string vm) : vms{std::move(vm)} {}

  // Sets the other VMs that send to the upstreams.
  void SetPeers(std::vector<std::string> peers);

  // Records whether an answer to a request sent at `sent_at` announces that the
  // upstream is brittle. Returns whether that is news.
  bool OnAnswer(const UpstreamEntry& upstream, bool brittle,
                coordination::TimePoint sent_at, coordination::TimePoint now);

  // Whether any upstream has announced it lately.
  bool Any() const { return !this->announced.empty(); }

  // Whether this VM, with `in_flight` requests there, may send one more. All
  // instances of a service are brittle while one of them says so: one that has
  // fallen over comes back without a word.
  bool MaySend(const UpstreamEntry& upstream, std::int64_t in_flight,
               coordination::TimePoint now);

 private:
  // This VM's part of the upstream's slots.
  std::int64_t PartOf(const UpstreamEntry& upstream);

  struct Part {
    std::int64_t slots = 0;  // of the upstream
    std::int64_t part = 0;
  };

  std::vector<std::string> vms;                    // this one first
  std::map<std::string, Part, std::less<>> parts;  // by upstream; computed once
  // When instances last announced it, by service and instance.
  std::map<std::string, std::map<std::string, coordination::TimePoint>,
           std::less<>>
      announced;
};

}  // namespace hornbeamspool::policy
