// Brittle upstreams before fleets of 7 to 390 VMs, in virtual time.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "policy/brittle_upstreams.h"

namespace hornbeamspool::policy {
namespace {

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

constexpr std::int64_t kWorkMs = 250;
constexpr std::int64_t kSlots = 4;
constexpr std::int64_t kMayWait = 2;
constexpr std::int64_t kMaxRejections = 4;  // in a second
constexpr std::int64_t kDownMs = 4'000;
constexpr std::int64_t kSeconds = 12;

// An upstream that runs `kSlots` requests at a time, lets few wait, and falls
// over when it rejects more than kMaxRejections in a second.
struct Upstream {
  UpstreamEntry entry;
  std::vector<std::int64_t> ends;  // of the requests that run or wait
  std::deque<std::int64_t> rejected;
  std::int64_t back_at = 0;
  int falls = 0;
};

struct Outcome {
  int falls = 0;
  double served = 0;  // of what the upstreams could serve
};

// Twice as many requests as the upstreams can serve, over VMs that get them
// unevenly. `announced`: the upstreams say that they are brittle.
Outcome Run(std::size_t vm_count, std::size_t upstream_count, bool announced) {
  std::mt19937 random(7);
  std::vector<std::string> names;
  for (std::size_t i = 0; i < vm_count; ++i) {
    names.push_back("vm" + std::to_string(i));
  }
  std::vector<BrittleUpstreams> vms;
  for (std::size_t i = 0; i < vm_count; ++i) {
    std::vector<std::string> peers = names;
    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(i));
    vms.emplace_back(names[i]);
    vms.back().SetPeers(std::move(peers));
  }
  std::vector<Upstream> upstreams(upstream_count);
  for (std::size_t i = 0; i < upstream_count; ++i) {
    upstreams[i].entry.id = "u" + std::to_string(i);
    upstreams[i].entry.service = "s";
    upstreams[i].entry.slots = kSlots;
    for (BrittleUpstreams& vm : vms) {
      vm.OnAnswer(upstreams[i].entry, announced, At(0), At(1));
    }
  }
  struct Send {
    std::size_t vm;
    std::size_t upstream;
    bool answered;
  };
  std::multimap<std::int64_t, Send> in_flight;  // by end
  std::map<std::pair<std::size_t, std::size_t>, std::int64_t> counts;
  const double per_ms = 2.0 * static_cast<double>(upstream_count * kSlots) /
                        static_cast<double>(kWorkMs);
  std::int64_t served = 0;
  for (std::int64_t ms = 1; ms <= kSeconds * 1'000; ++ms) {
    while (!in_flight.empty() && in_flight.begin()->first <= ms) {
      const Send send = in_flight.begin()->second;
      in_flight.erase(in_flight.begin());
      --counts[{send.vm, send.upstream}];
      if (!send.answered) continue;
      ++served;
      vms[send.vm].OnAnswer(upstreams[send.upstream].entry, announced, At(ms),
                            At(ms));
    }
    std::poisson_distribution<int> arrivals(per_ms);
    for (int n = arrivals(random); n > 0; --n) {
      // A third of the VMs get half of the requests.
      const std::size_t vm =
          random() % 2 == 0 ? random() % vm_count : random() % (vm_count / 3);
      const std::size_t first = random() % upstream_count;
      for (std::size_t i = 0; i < upstream_count; ++i) {
        const std::size_t index = (first + i) % upstream_count;
        Upstream& upstream = upstreams[index];
        if (!vms[vm].MaySend(upstream.entry, counts[{vm, index}], At(ms))) {
          continue;
        }
        if (ms < upstream.back_at) continue;  // nothing listens
        std::erase_if(upstream.ends, [ms](std::int64_t e) { return e <= ms; });
        if (upstream.ends.size() >= kSlots + kMayWait) {
          upstream.rejected.push_back(ms);
          while (upstream.rejected.front() < ms - 1'000) {
            upstream.rejected.pop_front();
          }
          if (upstream.rejected.size() > kMaxRejections) {
            ++upstream.falls;
            upstream.back_at = ms + kDownMs;
            upstream.ends.clear();
            upstream.rejected.clear();
          }
          break;
        }
        const std::int64_t begin =
            upstream.ends.size() < kSlots
                ? ms
                : upstream.ends[upstream.ends.size() - kSlots];
        upstream.ends.push_back(begin + kWorkMs);
        std::sort(upstream.ends.begin(), upstream.ends.end());
        ++counts[{vm, index}];
        in_flight.emplace(begin + kWorkMs, Send{vm, index, true});
        break;
      }
    }
  }
  Outcome outcome;
  for (const Upstream& upstream : upstreams) outcome.falls += upstream.falls;
  outcome.served =
      static_cast<double>(served * kWorkMs) /
      static_cast<double>(upstream_count * kSlots * kSeconds * 1'000);
  return outcome;
}

// Guards against upstreams that fall over, one after the other, because each VM
// sends as much as the whole fleet may.
TEST_CASE("brittle upstreams do not fall over under twice their load") {
  struct Fleet {
    std::size_t vms;
    std::size_t upstreams;
  };
  for (const Fleet& fleet :
       {Fleet{7, 4}, Fleet{78, 40}, Fleet{195, 100}, Fleet{390, 200}}) {
    const std::size_t vms = fleet.vms;
    const std::size_t count = fleet.upstreams;
    CAPTURE(vms);
    const double allowed = 2 + 0.1 * static_cast<double>(count);
    const Outcome outcome = Run(vms, count, true);
    CHECK(outcome.falls <= allowed);
    CHECK(outcome.served > 0.5);
    const Outcome unheeded = Run(vms, count, false);
    CHECK(unheeded.falls > allowed);
    std::cout << vms << " VMs: " << outcome.falls << " falls, "
              << outcome.served << " of the capacity served; unheeded "
              << unheeded.falls << ", " << unheeded.served << '\n';
  }
}

TEST_CASE("an upstream is no longer brittle once it stops saying so") {
  BrittleUpstreams vm("a");
  vm.SetPeers({"b", "c"});
  UpstreamEntry upstream;
  upstream.id = "u";
  upstream.service = "s";
  upstream.slots = 3;
  CHECK(vm.MaySend(upstream, 50, At(0)));
  CHECK(vm.OnAnswer(upstream, true, At(0), At(10)));
  CHECK(vm.MaySend(upstream, 0, At(20)));
  CHECK_FALSE(vm.MaySend(upstream, 1, At(20)));
  // An answer to a request that was sent before says nothing new.
  CHECK_FALSE(vm.OnAnswer(upstream, false, At(5), At(30)));
  CHECK_FALSE(vm.MaySend(upstream, 1, At(40)));
  // Another instance of the service is brittle too, until all have stopped.
  UpstreamEntry other = upstream;
  other.id = "v";
  CHECK_FALSE(vm.MaySend(other, 3, At(40)));
  CHECK(vm.OnAnswer(upstream, false, At(50), At(60)));
  CHECK(vm.MaySend(upstream, 50, At(70)));
  // Without answers the word lapses.
  CHECK(vm.OnAnswer(upstream, true, At(100), At(110)));
  CHECK_FALSE(vm.MaySend(upstream, 50, At(10'000)));
  CHECK(vm.MaySend(upstream, 50, At(10'200)));
}

}  // namespace
}  // namespace hornbeamspool::policy
