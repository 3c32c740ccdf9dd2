// Tests of how a VM tells that it is cut off from all upstreams, and of the
// choice of peers that pass its requests on.
#include <doctest/doctest.h>

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/tunnel_peers.h"
#include "policy/uplink_monitor.h"

namespace hornbeamspool::policy {
namespace {

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

std::vector<std::string> Names(const std::string& prefix, int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) names.push_back(prefix + std::to_string(i));
  return names;
}

// A VM that probes every 50 ms what is due; a connection takes 500 ms to fail,
// or `fails_after_ms`. Returns when the state first is `cut_off`.
template <typename Reaches>
std::int64_t RunUntil(UplinkMonitor& monitor, bool cut_off, std::int64_t ms,
                      std::int64_t fails_after_ms, Reaches reaches) {
  const std::vector<std::string> upstreams = Names("u", 21);
  std::multimap<std::int64_t, std::string> pending;
  for (const std::int64_t end = ms + 10'000; ms < end; ms += 50) {
    for (const std::string& id :
         monitor.TakeDueProbes(upstreams, true, At(ms))) {
      pending.emplace(reaches(id) ? ms : ms + fails_after_ms, id);
    }
    while (!pending.empty() && pending.begin()->first <= ms) {
      const std::string id = pending.begin()->second;
      pending.erase(pending.begin());
      monitor.OnConnect(id, reaches(id), At(ms));
    }
    if (monitor.IsCutOff() == cut_off) return ms;
  }
  return -1;
}

// Guards against VMs that lost their links and served nobody: even one without
// traffic of its own must know within `contact_ms`, and when it is over.
TEST_CASE("a VM knows within 3 s that it is cut off, and within 2 s that not") {
  const auto none = [](const std::string&) { return false; };
  const auto all = [](const std::string&) { return true; };
  for (const std::int64_t fails_after_ms : {0, 500}) {
    UplinkMonitor monitor;
    monitor.OnConnect("u20", true, At(0));
    const std::int64_t cut = RunUntil(monitor, true, 0, fails_after_ms, none);
    CHECK(cut >= 0);
    CHECK(cut <= 3'000);
    const std::int64_t back =
        RunUntil(monitor, false, 12'000, fails_after_ms, all);
    CHECK(back >= 0);
    CHECK(back <= 14'000);
  }
}

TEST_CASE("a service or a zone of upstreams that is down is no cut") {
  const auto two_in_three = [](const std::string& id) {
    return std::stoi(id.substr(1)) % 3 != 0;
  };
  UplinkMonitor monitor;
  CHECK(RunUntil(monitor, true, 0, 500, two_in_three) == -1);
  // One upstream that fails again and again, without any other attempt.
  UplinkMonitor other;
  for (int ms = 0; ms < 3'000; ms += 100) other.OnConnect("u1", false, At(ms));
  CHECK_FALSE(other.IsCutOff());
}

// Guards against crashes that are known late: a VM with few new connections had
// no success to another upstream for seconds after a refusal.
TEST_CASE("a refusal has others probed at once, until one accepts") {
  const std::vector<std::string> upstreams = Names("u", 10);
  UplinkMonitor monitor;
  monitor.OnConnect("u0", true, At(0));
  monitor.OnConnect("u1", false, At(100));
  CHECK_FALSE(monitor.ReachedAnother("u1", At(100)));
  const auto probes = monitor.TakeConfirmingProbes(upstreams, At(100));
  REQUIRE(probes.size() == 2);
  for (const std::string& id : probes) {
    CHECK(id != "u1");
    monitor.OnConnect(id, false, At(101));
  }
  CHECK(monitor.TakeConfirmingProbes(upstreams, At(120)).empty());
  const auto further = monitor.TakeConfirmingProbes(upstreams, At(160));
  REQUIRE(further.size() == 2);
  monitor.OnConnect(further.front(), true, At(161));
  CHECK(monitor.ReachedAnother("u1", At(100)));
}

TEST_CASE("with few upstreams, all must fail") {
  UplinkMonitor monitor;
  (void)monitor.TakeDueProbes(Names("u", 2), true, At(0));
  monitor.OnConnect("u0", false, At(0));
  CHECK_FALSE(monitor.IsCutOff());
  monitor.OnConnect("u1", false, At(100));
  CHECK(monitor.IsCutOff());
}

TEST_CASE("tunnels spread over the peers, and leave out those without any") {
  TunnelPeers peers("vm0");
  const std::vector<std::string> vms = Names("vm", 7);
  std::set<std::string> first;
  for (const std::string& upstream : Names("u", 40)) {
    const auto chosen = peers.Choose(vms, upstream, 3, At(0));
    REQUIRE(chosen.size() == 3);
    CHECK(chosen == peers.Choose(vms, upstream, 3, At(1)));
    first.insert(chosen.front());
  }
  CHECK(first.size() == 6);
  CHECK_FALSE(first.contains("vm0"));
  const std::string left_out = peers.Choose(vms, "u1", 3, At(0)).front();
  peers.OnUnavailable(left_out, At(0));
  CHECK(peers.Choose(vms, "u1", 6, At(500)).size() == 5);
  CHECK(peers.Choose(vms, "u1", 6, At(2'000)).front() == left_out);
}

}  // namespace
}  // namespace hornbeamspool::policy
