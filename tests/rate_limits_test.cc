#include "policy/rate_limits.h"

#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

namespace hornbeamspool::policy {
namespace {

using Change = RateLimits::Change;
using Kind = RateLimits::Permission::Kind;

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

AnnouncedRate Limited(double per_second) {
  return {AnnouncedRate::Kind::kLimited, per_second};
}

// The permits that a VM takes from its own bucket between two times.
int TakeAll(RateLimits& limits, std::int64_t from_ms, std::int64_t to_ms) {
  int taken = 0;
  for (std::int64_t ms = from_ms; ms < to_ms; ms += 5) {
    const bool available = limits.Check("i", At(ms)).kind == Kind::kAvailable &&
                           limits.TakeOwn("i", At(ms));
    if (available) ++taken;
  }
  return taken;
}

TEST_CASE("a limit lasts until an answer to a later request names none") {
  RateLimits limits("a");
  CHECK(limits.OnAnswer("i", {}, At(0), At(1)) == Change::kNone);
  CHECK(limits.OnAnswer("i", Limited(4), At(0), At(10)) == Change::kAnnounced);
  CHECK(limits.OnAnswer("i", Limited(4), At(5), At(11)) == Change::kNone);
  CHECK(limits.OnAnswer("i", Limited(2), At(5), At(12)) == Change::kChanged);
  CHECK(limits.OnAnswer("i", {}, At(11), At(20)) == Change::kNone);
  CHECK(limits.IsLimited("i"));
  CHECK(limits.OnAnswer("i", {}, At(13), At(21)) == Change::kEnded);
  CHECK_FALSE(limits.IsLimited("i"));
  CHECK_FALSE(limits.AnyLimited());
}

TEST_CASE("a malformed limit changes nothing and is reported once") {
  RateLimits limits("a");
  const AnnouncedRate malformed{AnnouncedRate::Kind::kMalformed, 0};
  CHECK(limits.OnAnswer("i", malformed, At(0), At(1)) == Change::kMalformed);
  CHECK(limits.Check("i", At(1)).kind == Kind::kUnlimited);
  limits.OnAnswer("i", Limited(4), At(1), At(2));
  CHECK(limits.OnAnswer("i", malformed, At(3), At(4)) == Change::kMalformed);
  CHECK(limits.OnAnswer("i", malformed, At(5), At(6)) == Change::kNone);
  CHECK(limits.IsLimited("i"));
}

TEST_CASE("a peer's older report does not replace what the upstream said") {
  RateLimits limits("a");
  CHECK(limits.OnPeerReport("i", {Limited(4), At(100)}) == Change::kAnnounced);
  limits.OnAnswer("i", {}, At(150), At(200));
  CHECK(limits.OnPeerReport("i", {Limited(4), At(199)}) == Change::kNone);
  CHECK_FALSE(limits.IsLimited("i"));
  CHECK(limits.OnPeerReport("i", {Limited(3), At(201)}) == Change::kAnnounced);
}

TEST_CASE("another instance at the same upstream has announced nothing") {
  RateLimits limits("a");
  limits.OnAnswer("i@1", Limited(4), At(0), At(1));
  CHECK(limits.Check("i@2", At(2)).kind == Kind::kUnlimited);
}

TEST_CASE("no permit is issued before the fleet's members are known") {
  RateLimits limits("a");
  limits.OnAnswer("i", Limited(100), At(0), At(1));
  CHECK(TakeAll(limits, 1, 2'000) == 0);
  CHECK(limits.Check("i", At(2'000)).kind == Kind::kRefused);
  CHECK_FALSE(limits.Issue("i", false, At(2'000)).granted);
}

// Guards against bursts after a silence: a bucket that filled while nothing was
// sent, or while the process was stopped.
TEST_CASE("a VM that was idle or stopped issues one permit at once") {
  RateLimits limits("a");
  limits.SetMembers({});
  limits.OnAnswer("i", Limited(4), At(0), At(1));
  CHECK(TakeAll(limits, 1, 2) == 0);
  CHECK(limits.Backlog("i") == coordination::Duration(0));
  CHECK(TakeAll(limits, 60'000, 60'001) == 1);
  CHECK(TakeAll(limits, 60'001, 64'011) == 16);
}

TEST_CASE("a limit of zero leaves a request in four seconds") {
  RateLimits limits("a");
  limits.SetMembers({});
  limits.OnAnswer("i", Limited(0), At(0), At(1));
  CHECK(TakeAll(limits, 1, 8'100) == 2);
}

TEST_CASE("the issuers of an instance share its limit") {
  const std::vector<std::string> vms{"a", "b", "c", "d", "e"};
  int issuers = 0;
  int taken = 0;
  for (const std::string& vm : vms) {
    RateLimits limits(vm);
    limits.SetMembers(vms);
    limits.OnAnswer("i", Limited(9), At(0), At(1));
    const int own = TakeAll(limits, 1, 10'001);
    if (own > 0) ++issuers;
    taken += own;
    CHECK(limits.OtherIssuers("i").size() == (own > 0 ? 2 : 3));
  }
  CHECK(issuers == 3);
  CHECK(taken >= 85);
  CHECK(taken <= 90);
}

TEST_CASE("an issuer raises its part while others are silent, up to a bound") {
  const std::vector<std::string> vms{"a", "b", "c"};
  RateLimits limits("a");
  limits.SetMembers(vms);
  limits.OnAnswer("i", Limited(9), At(0), At(1));
  CHECK(TakeAll(limits, 1, 10'001) <= 30);
  // One timeout may be a lost datagram.
  limits.OnTimeout("b", At(10'000));
  CHECK_FALSE(limits.IssuerIsSilent("i", At(10'001)));
  for (const char* vm : {"b", "c"}) {
    for (int i = 0; i < 8; ++i) limits.OnTimeout(vm, At(11'000 + 10'000 * i));
  }
  CHECK(limits.IssuerIsSilent("i", At(81'001)));
  const int raised = TakeAll(limits, 81'001, 85'001);
  CHECK(raised > 14);
  CHECK(raised <= 9 * RateLimits::kMaxOverlap / 3 * 4 + 1);
  limits.OnVerdict("i", "b", {}, At(85'001));
  CHECK_FALSE(limits.IssuerIsSilent("i", At(90'000)));
}

TEST_CASE("a VM asks the issuers in turn and remembers their refusals") {
  const std::vector<std::string> vms{"a", "b", "c", "d", "e", "f"};
  for (const std::string& vm : vms) {
    RateLimits limits(vm);
    limits.SetMembers(vms);
    limits.OnAnswer("i", Limited(9), At(0), At(1));
    if (limits.OtherIssuers("i").size() < RateLimits::kMaxIssuers) continue;
    for (std::size_t i = 0; i < RateLimits::kMaxIssuers; ++i) {
      const RateLimits::Permission permission = limits.Check("i", At(2));
      REQUIRE(permission.kind == Kind::kAsk);
      const RateLimits::Verdict refused{false, std::chrono::milliseconds(50),
                                        std::chrono::milliseconds(900)};
      limits.OnVerdict("i", permission.issuer, refused, At(2));
    }
    CHECK(limits.Check("i", At(3)).kind == Kind::kRefused);
    CHECK(limits.Check("i", At(3)).retry_at == At(52));
    CHECK(limits.Backlog("i") == std::chrono::milliseconds(900));
    CHECK(limits.Check("i", At(53)).kind == Kind::kAsk);
  }
}

}  // namespace
}  // namespace hornbeamspool::policy
