// Tests of the detection of poison requests: requests that crash the upstreams
// that run them.
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

// Fingerprints of a request that crashes upstreams and of one that doesn't.
constexpr std::uint64_t kPoison = 1;
constexpr std::uint64_t kHarmless = 2;

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// An instance crashes with both requests in flight.
void Crash(CrashSuspects& suspects, const std::string& instance,
           std::int64_t ms) {
  suspects.OnIncompleteAnswer(kPoison, instance, At(ms));
  suspects.OnIncompleteAnswer(kHarmless, instance, At(ms));
  suspects.OnCrash(instance, At(ms + 50));
}

TEST_CASE("a request is suspect after three crashes") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "b", 1'000);
  CHECK_FALSE(suspects.IsSuspect(kPoison, At(1'100)));
  Crash(suspects, "c", 2'000);
  CHECK(suspects.IsSuspect(kPoison, At(2'100)));
  CHECK_FALSE(suspects.IsSuspect(3, At(2'100)));
}

TEST_CASE("an answer clears a harmless request that was in flight at a crash") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "b", 1'000);
  suspects.OnAnswered(kHarmless);
  Crash(suspects, "c", 2'000);
  CHECK(suspects.CrashCount(kHarmless, At(2'100)) == 1);
  CHECK(suspects.CrashCount(kPoison, At(2'100)) == 3);
}

TEST_CASE("incomplete answers without a crash are no evidence") {
  CrashSuspects suspects;
  for (const char* instance : {"a", "b", "c", "d"}) {
    suspects.OnIncompleteAnswer(kPoison, instance, At(0));
  }
  CHECK(suspects.CrashCount(kPoison, At(100)) == 0);
  // Crashes long after the incomplete answers don't count for their requests.
  for (const char* instance : {"a", "b", "c", "d"}) {
    suspects.OnCrash(instance, At(20'000));
  }
  CHECK(suspects.CrashCount(kPoison, At(20'100)) == 0);
}

TEST_CASE("two crash reports of one instance count once") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  Crash(suspects, "a", 100);
  CHECK(suspects.CrashCount(kPoison, At(200)) == 1);
}

TEST_CASE("other VMs get a notice without the requests answered since") {
  CrashSuspects here;
  CrashSuspects there;
  Crash(here, "a", 0);
  here.OnAnswered(kHarmless);
  CHECK(here.TakeNotices(At(100)).empty());
  const auto notices = here.TakeNotices(At(600));
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().fingerprints == std::vector<std::uint64_t>{kPoison});
  CHECK(here.TakeNotices(At(1'200)).empty());
  Crash(there, "b", 700);
  Crash(there, "c", 800);
  there.ApplyNotice(notices.front(), At(900));
  CHECK(there.IsSuspect(kPoison, At(1'000)));
  // Both VMs saw the crash of instance b: it counts once.
  there.ApplyNotice({"b", {kHarmless}}, At(1'000));
  CHECK(there.CrashCount(kHarmless, At(1'100)) == 2);
}

// Eviction used to drop the smallest fingerprint instead of the suspect with
// the fewest crashes, so that crashes with many other requests in flight could
// clear the poison request.
TEST_CASE("a full table evicts the suspects with the fewest crashes") {
  CrashSuspects suspects;
  for (const char* instance : {"a", "b", "c"}) Crash(suspects, instance, 0);
  for (std::uint64_t other = 100; other < 10'000; ++other) {
    suspects.ApplyNotice({"d", {other}}, At(1'000));
  }
  CHECK(suspects.IsSuspect(kPoison, At(2'000)));
}

// Notices of a third crash used to be sent half a second to a second late.
TEST_CASE("repeated crashes are announced without delay") {
  CrashSuspects suspects;
  Crash(suspects, "a", 0);
  CHECK(suspects.TakeNotices(At(60)).empty());
  Crash(suspects, "b", 100);
  const auto notices = suspects.TakeNotices(At(150));
  REQUIRE(notices.size() == 1);
  CHECK(notices.front().fingerprints.size() == 2);
}

// Of an instance with more than 128 requests in flight, only the first 128 used
// to be announced.
TEST_CASE("all requests in flight at a crash are announced") {
  constexpr std::size_t kInFlight = 300;
  CrashSuspects suspects;
  for (std::uint64_t i = 0; i < kInFlight; ++i) {
    suspects.OnIncompleteAnswer(i, "a", At(0));
  }
  suspects.OnCrash("a", At(10));
  std::size_t announced = 0;
  for (const CrashNotice& notice : suspects.TakeNotices(At(1'000))) {
    CHECK(notice.fingerprints.size() <= CrashSuspects::kMaxNoticeFingerprints);
    announced += notice.fingerprints.size();
  }
  CHECK(announced == kInFlight);
}

TEST_CASE("a suspect that is refused again is announced again") {
  CrashSuspects suspects;
  for (const char* instance : {"a", "b", "c"}) Crash(suspects, instance, 0);
  CHECK(suspects.TakeNotices(At(1'000)).size() >= 3);
  suspects.OnRefused(kPoison, At(2'000));
  CHECK(suspects.TakeNotices(At(2'000)).empty());
  suspects.OnRefused(kPoison, At(40'000));
  CHECK(suspects.TakeNotices(At(40'000)).size() == 3);
}

TEST_CASE("an incomplete answer causes one probe of its instance") {
  CrashSuspects suspects;
  CHECK_FALSE(suspects.ShouldProbe("a", At(0)));
  suspects.OnIncompleteAnswer(kPoison, "a", At(0));
  CHECK(suspects.ShouldProbe("a", At(1)));
  CHECK_FALSE(suspects.ShouldProbe("a", At(2)));
  CHECK_FALSE(suspects.ShouldProbe("b", At(2)));
}

// A second VM's record of a crash used to be dropped as a duplicate of the
// first, though each VM has its own requests in flight at the instance.
TEST_CASE("records of one crash are new for each VM and when they grow") {
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

TEST_CASE("records expire, and the newest are kept when there are too many") {
  CrashRecords records;
  records.Add({"a", {kPoison}}, At(0));
  records.Add({"a", {kPoison, kHarmless}}, At(100));
  REQUIRE(records.Current(At(200)).size() == 1);
  CHECK(records.Current(At(200)).front().notice.fingerprints ==
        std::vector<std::uint64_t>{kPoison, kHarmless});
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

TEST_CASE("a suspicion expires when the request has not arrived for a while") {
  CrashSuspects suspects;
  for (const char* instance : {"a", "b", "c"}) Crash(suspects, instance, 0);
  CHECK(suspects.IsSuspect(kPoison, At(60'000)));
  CHECK_FALSE(suspects.IsSuspect(kPoison, At(200'000)));
}

}  // namespace
}  // namespace hornbeamspool::policy
