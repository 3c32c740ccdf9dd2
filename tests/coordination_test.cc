#include <doctest/doctest.h>

#include <array>
#include <string_view>

#include "coordination/escrow.h"
#include "coordination/hybrid_clock.h"
#include "coordination/member_view.h"
#include "coordination/rendezvous.h"
#include "coordination/versioned_value.h"

namespace hornbeamspool::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a grant account never spends more than it was granted") {
  GrantAccount account;
  account.Add(100);
  CHECK(account.Reserve(60));
  CHECK_FALSE(account.Reserve(41));
  CHECK_FALSE(account.Reserve(-1));
  CHECK_EQ(account.Settle(60, 1'000), 60);
  CHECK_EQ(account.Available(), 40);
  CHECK_EQ(account.Withdraw(1'000), 40);
  CHECK_EQ(account.Available(), 0);
  CHECK(account.Consistent());
}

TEST_CASE(
    "a ledger grants at most its total, and reclaims at most what it "
    "granted") {
  const EscrowLedger ledger{100, 90};
  CHECK(ledger.AfterGrant(10));
  CHECK_FALSE(ledger.AfterGrant(11));
  CHECK_FALSE(ledger.AfterGrant(-91));
}

TEST_CASE("grants shrink near the end of the budget") {
  GrantDemand demand;
  demand.needed = 10;
  demand.units_per_second = 100;
  demand.holders = 4;
  demand.horizon = seconds(60);
  demand.ungranted = 1'000'000;
  CHECK_EQ(GrantChange(demand), 6'000);
  demand.ungranted = 800;
  CHECK_EQ(GrantChange(demand), 100);
  demand.ungranted = 11;
  CHECK_EQ(GrantChange(demand), 10);
  demand.ungranted = 9;
  CHECK_EQ(GrantChange(demand), 0);
}

TEST_CASE("units far above the target are returned") {
  GrantDemand demand;
  demand.available = 10'000;
  demand.units_per_second = 10;
  demand.holders = 4;
  demand.horizon = seconds(60);
  demand.ungranted = 1'000'000;
  CHECK_EQ(GrantChange(demand), -9'400);
  demand.available = 1'200;
  CHECK_EQ(GrantChange(demand), 0);
  demand.available = 449;
  CHECK_EQ(GrantChange(demand), 151);
  // With nothing ungranted, a holder keeps only its fair share of the rest.
  demand.available = 1'000;
  demand.ungranted = 0;
  CHECK_EQ(GrantChange(demand), -875);
}

TEST_CASE("the hybrid clock never goes back when the wall clock does") {
  HybridClock clock;
  const WallTime noon{seconds(1'000)};
  const HybridTime first = clock.Tick(noon);
  const HybridTime second = clock.Tick(noon - seconds(100));
  CHECK(second > first);
  CHECK(clock.Observe(HybridTime{1'010'000'000, 5}, noon));
  CHECK(clock.Tick(noon) > HybridTime{1'010'000'000, 5});
  CHECK_FALSE(clock.Observe(HybridTime{9'000'000'000, 0}, noon));
}

TEST_CASE("removing a member remaps only the keys that it owned") {
  const std::array<std::string_view, 4> four{"a", "b", "c", "d"};
  const std::array<std::string_view, 3> three{"a", "b", "c"};
  for (int key = 0; key < 500; ++key) {
    const std::string text = std::to_string(key);
    const auto before = RendezvousOwner(text, four);
    const auto after = RendezvousOwner(text, three);
    REQUIRE(before);
    REQUIRE(after);
    if (*before == 3) continue;
    CHECK_EQ(*before, *after);
  }
  CHECK_FALSE(RendezvousOwner("key", {}));
}

TEST_CASE("a versioned value rejects an epoch that is not greater") {
  VersionedValue<int> value;
  CHECK(value.Offer(2, 20));
  CHECK_FALSE(value.Offer(1, 10));
  CHECK_FALSE(value.Offer(2, 21));
  CHECK_EQ(*value.Get(), 20);
  value.ObserveEpoch(3);
  CHECK(value.Stale());
}

TEST_CASE(
    "a member without new heartbeats becomes suspect, a repeated one is "
    "ignored") {
  MemberView view(MemberTiming{});
  const TimePoint start{seconds(100)};
  MemberReport report;
  report.name = "router-1";
  report.incarnation = 7;
  report.beat = 1;
  CHECK(view.Observe(report, start));
  CHECK_FALSE(view.Observe(report, start + seconds(2)));
  CHECK(view.Advance(start + seconds(3)).empty());
  CHECK_EQ(view.Advance(start + seconds(4)).size(), 1);
  report.beat = 2;
  CHECK(view.Observe(report, start + seconds(5)));
  CHECK_EQ(view.CountAlive(), 1);
  report.incarnation = 6;
  report.beat = 99;
  CHECK_FALSE(view.Observe(report, start + seconds(5)));
}

TEST_CASE("samples go round-robin through the whole view") {
  MemberView view(MemberTiming{});
  const TimePoint now{seconds(100)};
  for (int i = 0; i < 10; ++i) {
    MemberReport report;
    report.name = "router-" + std::to_string(i);
    report.beat = 1;
    view.Observe(report, now);
  }
  std::map<std::string, int> seen;
  for (int i = 0; i < 5; ++i) {
    for (const MemberReport& report : view.Sample(4)) ++seen[report.name];
  }
  CHECK_EQ(seen.size(), 10);
  for (const auto& [name, times] : seen) CHECK_EQ(times, 2);
}

}  // namespace
}  // namespace hornbeamspool::coordination
