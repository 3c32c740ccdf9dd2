// Requests that take upstreams down.
#include "policy/crash_suspects.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>

namespace hornbeamspool::policy {
namespace {

constexpr std::uint64_t kCause = 1;
constexpr std::uint64_t kBystander = 2;

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// An upstream goes down with both in hand.
void Crash(CrashSuspects& suspects, const std::string& upstream,
           std::int64_t ms) {
  suspects.OnBroken(kCause, upstream, At(ms));
  suspects.OnBroken(kBystander, upstream, At(ms));
  suspects.OnDown(upstream, At(ms + 50));
}

TEST_CASE("a request is suspect after three upstreams went down with it") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "b", 1'000);
  CHECK_FALSE(suspects.IsSuspect(kCause, At(1'100)));
  Crash(suspects, "c", 2'000);
  CHECK(suspects.IsSuspect(kCause, At(2'100)));
  CHECK_FALSE(suspects.IsSuspect(3, At(2'100)));
}

TEST_CASE("an answer clears what was only in hand beside the cause") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "b", 1'000);
  suspects.OnAnswered(kBystander);
  Crash(suspects, "c", 2'000);
  CHECK(suspects.CrashesOf(kBystander, At(2'100)) == 1);
  CHECK(suspects.CrashesOf(kCause, At(2'100)) == 3);
}

TEST_CASE("answers that break off at upstreams that stay up prove nothing") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c", "d"}) {
    suspects.OnBroken(kCause, upstream, At(0));
  }
  CHECK(suspects.CrashesOf(kCause, At(100)) == 0);
  // Down only long after: something else.
  for (const char* upstream : {"a", "b", "c", "d"}) {
    suspects.OnDown(upstream, At(20'000));
  }
  CHECK(suspects.CrashesOf(kCause, At(20'100)) == 0);
}

TEST_CASE(
    "one upstream that goes down twice counts once until it starts anew") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "a", 100);
  CHECK(suspects.CrashesOf(kCause, At(200)) == 1);
}

TEST_CASE("the other VMs learn of it, and are spared what was answered") {
  CrashSuspects here;
  CrashSuspects there;
  Crash(here, "a", 0);
  here.OnAnswered(kBystander);
  CHECK(here.TakeNotices(At(100)).empty());
  const auto notices = here.TakeNotices(At(600));
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().fingerprints == std::vector<std::uint64_t>{kCause});
  CHECK(here.TakeNotices(At(1'200)).empty());
  Crash(there, "b", 700);
  Crash(there, "c", 800);
  there.Learn(notices.front(), At(900));
  CHECK(there.IsSuspect(kCause, At(1'000)));
  // Both saw the same upstream go down: it counts once.
  there.Learn({"b", {kBystander}}, At(1'000));
  CHECK(there.CrashesOf(kBystander, At(1'100)) == 2);
}

TEST_CASE("a suspicion ends when nobody brought the request for long") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c"}) Crash(suspects, upstream, 0);
  CHECK(suspects.IsSuspect(kCause, At(60'000)));
  CHECK_FALSE(suspects.IsSuspect(kCause, At(200'000)));
}

}  // namespace
}  // namespace hornbeamspool::policy
