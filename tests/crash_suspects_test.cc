// Requests that take upstreams down.
#include "policy/crash_suspects.h"

#include <doctest/doctest.h>

#include <chrono>
#include <numeric>
#include <string>
#include <vector>

#include "policy/crash_records.h"
#include "policy/seen_crash_records.h"

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
  suspects.OnIncompleteAnswer(kCause, upstream, At(ms));
  suspects.OnIncompleteAnswer(kBystander, upstream, At(ms));
  suspects.OnCrash(upstream, At(ms + 50));
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
  CHECK(suspects.CrashCount(kBystander, At(2'100)) == 1);
  CHECK(suspects.CrashCount(kCause, At(2'100)) == 3);
}

TEST_CASE("answers that break off at upstreams that stay up prove nothing") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c", "d"}) {
    suspects.OnIncompleteAnswer(kCause, upstream, At(0));
  }
  CHECK(suspects.CrashCount(kCause, At(100)) == 0);
  // Down only long after: something else.
  for (const char* upstream : {"a", "b", "c", "d"}) {
    suspects.OnCrash(upstream, At(20'000));
  }
  CHECK(suspects.CrashCount(kCause, At(20'100)) == 0);
}

TEST_CASE(
    "one upstream that goes down twice counts once until it starts anew") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "a", 100);
  CHECK(suspects.CrashCount(kCause, At(200)) == 1);
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
  there.ApplyNotice(notices.front(), At(900));
  CHECK(there.IsSuspect(kCause, At(1'000)));
  // Both saw the same upstream go down: it counts once.
  there.ApplyNotice({"b", {kBystander}}, At(1'000));
  CHECK(there.CrashCount(kBystander, At(1'100)) == 2);
}

// Guards against BUDGET: the fingerprint that sorts first was forgotten instead
// of the one that matters least.
TEST_CASE("what fell with many bystanders is not forgotten for them") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c"}) Crash(suspects, upstream, 0);
  for (std::uint64_t other = 100; other < 10'000; ++other) {
    suspects.ApplyNotice({"d", {other}}, At(1'000));
  }
  CHECK(suspects.IsSuspect(kCause, At(2'000)));
}

// Guards against BUDGET: the other VMs were told of a third crash half a second
// to a second late.
TEST_CASE("the other VMs are told at once of what fell more than once") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  CHECK(suspects.TakeNotices(At(60)).empty());
  Crash(suspects, "b", 100);
  const auto notices = suspects.TakeNotices(At(150));
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().fingerprints.size() == 2);
}

// Guards against BUDGET: of a full upstream's requests only the first 128 were
// told.
TEST_CASE("the other VMs are told of all that an upstream had in hand") {
  constexpr std::size_t kInHand = 300;
  CrashSuspects suspects;
  for (std::uint64_t i = 0; i < kInHand; ++i) {
    suspects.OnIncompleteAnswer(i, "a", At(0));
  }
  suspects.OnCrash("a", At(10));
  std::size_t told = 0;
  for (const CrashNotice& notice : suspects.TakeNotices(At(1'000))) {
    CHECK(notice.fingerprints.size() <= CrashSuspects::kMaxNoticeFingerprints);
    told += notice.fingerprints.size();
  }
  CHECK(told == kInHand);
}

TEST_CASE("a suspect that is brought again is told of again") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c"}) Crash(suspects, upstream, 0);
  CHECK(suspects.TakeNotices(At(1'000)).size() >= 3);
  suspects.OnRefused(kCause, At(2'000));
  CHECK(suspects.TakeNotices(At(2'000)).empty());
  suspects.OnRefused(kCause, At(40'000));
  CHECK(suspects.TakeNotices(At(40'000)).size() == 3);
}

TEST_CASE("an upstream is asked if it is there when an answer broke off") {
  CrashSuspects suspects;
  CHECK_FALSE(suspects.ShouldProbe("a", At(0)));
  suspects.OnIncompleteAnswer(kCause, "a", At(0));
  CHECK(suspects.ShouldProbe("a", At(1)));
  CHECK_FALSE(suspects.ShouldProbe("a", At(2)));
  CHECK_FALSE(suspects.ShouldProbe("b", At(2)));
}

// Guards against BUDGET: of two VMs' records of one crash the second was taken
// for the first, though each had other requests in hand.
TEST_CASE("each VM's record of a crash is news, and so is what it adds") {
  SeenCrashRecords seen;
  CHECK(seen.MarkIfNew("vm1", "a", 1'000, 1));
  CHECK(seen.MarkIfNew("vm2", "a", 900, 1));
  CHECK_FALSE(seen.MarkIfNew("vm1", "a", 1'000, 1));
  CHECK_FALSE(seen.MarkIfNew("vm1", "a", 990, 1));
  CHECK(seen.MarkIfNew("vm1", "a", 990, 2));
  CHECK(seen.MarkIfNew("vm1", "a", 2'000, 2));
  seen.ExpireBefore(1'500);
  CHECK(seen.MarkIfNew("vm2", "a", 900, 1));
}

TEST_CASE("records are kept while they matter, the latest where room ends") {
  CrashRecords records;
  records.Add({"a", {kCause}}, At(0));
  records.Add({"a", {kCause, kBystander}}, At(100));
  REQUIRE(records.Current(At(200)).size() == 1);
  CHECK(records.Current(At(200)).front().notice.fingerprints ==
        std::vector<std::uint64_t>{kCause, kBystander});
  std::vector<std::uint64_t> many(400);
  std::iota(many.begin(), many.end(), 1'000);
  records.Add({"b", many}, At(300));
  records.Add({"c", many}, At(400));
  const auto current = records.Current(At(500));
  REQUIRE(current.size() == 2);
  CHECK(current.front().notice.instance_id == "c");
  CHECK(current.front().notice.fingerprints.size() == 400);
  CHECK(current.back().notice.fingerprints.size() == 112);
  CHECK(records.Current(At(130'000)).empty());
}

TEST_CASE("a suspicion ends when nobody brought the request for long") {
  CrashSuspects suspects;
  for (const char* upstream : {"a", "b", "c"}) Crash(suspects, upstream, 0);
  CHECK(suspects.IsSuspect(kCause, At(60'000)));
  CHECK_FALSE(suspects.IsSuspect(kCause, At(200'000)));
}

}  // namespace
}  // namespace hornbeamspool::policy
