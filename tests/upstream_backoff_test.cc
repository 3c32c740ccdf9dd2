// Tests of what keeps requests away from upstreams that leave or have asked for
// a pause.
#include "policy/upstream_backoff.h"

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>

#include "policy/announced_backoff.h"

namespace hornbeamspool::policy {
namespace {

using coordination::TimePoint;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr std::int64_t kSlots = 8;

TimePoint At(std::int64_t ms) { return TimePoint(milliseconds(ms)); }

// Guards against requests to an upstream that has said that it leaves, because
// a later answer or the registry doesn't say so.
TEST_CASE("an instance leaves for good, its next start does not") {
  UpstreamBackoff backoff("vm");
  CHECK(backoff.OnLeaving("s@1", true, At(0)));
  CHECK_FALSE(backoff.OnLeaving("s@1", true, At(1)));
  CHECK_FALSE(backoff.MayChoose("vm", "s@1", At(10'000'000)));
  CHECK(backoff.MayChoose("vm", "s@2", At(1)));
  backoff.Prune({"s@1"}, At(10'000'000));
  CHECK_FALSE(backoff.MayChoose("vm", "s@1", At(10'000'000)));
  backoff.Prune({}, At(10'000'000));
  CHECK(backoff.Empty());
}

// Guards against a word that VMs tell each other for good, and against memory
// that only grows: each repetition renewed it.
TEST_CASE("VMs forget an instance that is gone, however often they repeat it") {
  UpstreamBackoff a("a");
  UpstreamBackoff b("b");
  a.OnLeaving("s@1", true, At(0));
  const auto tell = [](const UpstreamBackoff& from, UpstreamBackoff& to,
                       TimePoint now) {
    for (const UpstreamBackoff::Notice& notice : from.Notices(now)) {
      to.OnLeaving(notice.instance, notice.identified, now - notice.age);
    }
  };
  for (std::int64_t ms = 0; ms < 90'000; ms += 500) {
    tell(a, b, At(ms));
    tell(b, a, At(ms));
    for (UpstreamBackoff* vm : {&a, &b}) vm->Prune({}, At(ms));
    if (ms < 59'000) CHECK(b.IsLeaving("s@1", At(ms)));
  }
  CHECK(a.Empty());
  CHECK(b.Empty());
}

TEST_CASE("an instance without a start time leaves for a bounded time") {
  UpstreamBackoff backoff("vm");
  CHECK(backoff.OnLeaving("s", false, At(0)));
  const TimePoint end = At(0) + UpstreamBackoff::kUnidentifiedTimeout;
  CHECK_FALSE(backoff.MayChoose("vm", "s", end - milliseconds(1)));
  CHECK(backoff.MayChoose("vm", "s", end));
}

// Guards against requests in a pause: a shorter one that is asked for later
// must not end it.
TEST_CASE("the longest pause counts, for its VM alone") {
  UpstreamBackoff backoff("vm");
  CHECK(backoff.OnPause("vm", "s", seconds(4), At(0)));
  CHECK_FALSE(backoff.OnPause("vm", "s", seconds(1), At(100)));
  CHECK_FALSE(backoff.MayChoose("vm", "s", At(3'999)));
  CHECK(backoff.MayChoose("vm", "s", At(5'001)));
  CHECK(backoff.MayChoose("other", "s", At(1)));
  CHECK(backoff.PausedUntil("vm", "s", At(1)) >= At(4'000));
}

TEST_CASE("a pause has a limit") {
  UpstreamBackoff backoff("vm");
  backoff.OnPause("vm", "s", std::chrono::hours(24'000), At(0));
  CHECK(backoff.MayChoose("vm", "s", At(0) + kMaxPause + seconds(1)));
}

// Guards against all VMs sending as much as before at once, when their pauses
// end at the same moment.
TEST_CASE("VMs return one after another") {
  std::set<TimePoint> ends;
  for (int i = 0; i < 390; ++i) {
    const std::string vm = "vm-" + std::to_string(i);
    UpstreamBackoff backoff(vm);
    backoff.OnPause(vm, "s", seconds(4), At(0));
    const TimePoint end = backoff.PausedUntil(vm, "s", At(1));
    CHECK(end >= At(4'000));
    CHECK(end <= At(5'000));
    ends.insert(end);
  }
  CHECK(ends.size() > 50);
}

TEST_CASE("after a pause few requests are sent until some are answered") {
  UpstreamBackoff backoff("vm");
  backoff.SetFleetSize(4);
  backoff.OnPause("vm", "s", seconds(4), At(0));
  int sent = 0;
  while (backoff.MayChoose("vm", "s", At(6'000)) && sent < 100) {
    backoff.OnSent("s", kSlots, At(6'000));
    ++sent;
  }
  CHECK(sent == 2);  // its part of the slots
  // Guards against a pause that never ends: those sent must not withhold
  // themselves.
  CHECK_FALSE(backoff.IsWithheld("vm", "s", At(6'000)));
  backoff.OnAnswer("s", At(6'000));
  CHECK(backoff.MayChoose("vm", "s", At(6'100)));
  backoff.OnSent("s", kSlots, At(6'100));
  CHECK_FALSE(backoff.MayChoose("vm", "s", At(6'100)));
  backoff.OnEnded("s", At(6'000));
  CHECK(backoff.MayChoose("vm", "s", At(6'200)));
  for (int i = 0; i < 20; ++i) backoff.OnAnswer("s", At(6'200));
  CHECK(backoff.Empty());
}

TEST_CASE("a second rejection begins the next pause") {
  UpstreamBackoff backoff("vm");
  backoff.OnPause("vm", "s", seconds(4), At(0));
  backoff.OnSent("s", kSlots, At(6'000));
  CHECK(backoff.OnPause("vm", "s", seconds(2), At(6'010)));
  backoff.OnEnded("s", At(6'000));  // of before
  CHECK_FALSE(backoff.MayChoose("vm", "s", At(8'000)));
  CHECK(backoff.MayChoose("vm", "s", At(9'000)));
}

}  // namespace
}  // namespace hornbeamspool::policy
