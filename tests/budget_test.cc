// Prepaid budgets: the arithmetic of limits, and long randomised runs of a
// fleet's budget managers, whose check is shown to notice broken rules.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "bench/budget_fleet.h"
#include "policy/budget_manager.h"
#include "policy/budget_share.h"
#include "policy/gift_deduplicator.h"

namespace hornbeamspool {
namespace {

using bench::BudgetFleet;
using bench::FleetMutation;
using bench::FleetOptions;
using bench::FleetResult;
using bench::HoldStrategy;
using policy::BudgetAccount;
using policy::BudgetManager;
using policy::BudgetRows;
using policy::BudgetShare;
using policy::BudgetSource;
using policy::BudgetTotal;
using policy::BudgetVerdict;
using policy::LimitRequest;
using policy::NextLimit;

constexpr std::uint64_t kRuns = 300;

// Kills, cuts, lost and late writes and lost datagrams, on a budget that runs
// out.
FleetOptions Rough(std::uint64_t seed) {
  FleetOptions options;
  options.seed = seed;
  options.vms = 2 + seed % 6;
  options.organisations = 1 + seed % 3;
  options.prepaid = 600'000;
  options.length = std::chrono::seconds(25);
  options.kill_rate = 0.05;
  options.cut_rate = 0.05;
  options.lost_answer_rate = 0.1;
  options.lost_datagram_rate = 0.05;
  return options;
}

bool Notices(FleetMutation mutation) {
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    FleetOptions options = Rough(seed);
    options.mutation = mutation;
    if (!BudgetFleet(options).Run().violation.empty()) return true;
  }
  return false;
}

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// A manager whose rows have been read, keeping the organisation's tokens.
BudgetManager HomeManager(std::uint64_t incarnation, const BudgetRows& rows) {
  BudgetManager budgets({incarnation, At(0)}, {});
  budgets.SetPrepaid(rows.organisation, 1'000'000);
  budgets.OnStoreClock(10'000, At(0), At(0));
  budgets.OnRead(rows);
  budgets.ActAsHome(rows.organisation, At(60'000));
  return budgets;
}

BudgetRows Absent() {
  BudgetRows rows;
  rows.organisation = "t";
  return rows;
}

TEST_CASE(
    "a limit grows by what waits, and by half of the rest for foresight") {
  const BudgetTotal total{400, 0};
  CHECK(NextLimit({1000, 100, 50, 50, 1000}, total) == 100 + 600 / 2);
  // A request that waits may take all that is left.
  CHECK(NextLimit({1000, 100, 50, 700, 700}, total) == 700);
  // One that doesn't fit takes nothing.
  CHECK(NextLimit({1000, 100, 50, 701, 50}, total) == 50);
}

TEST_CASE("a limit shrinks to what is wanted, never below what is committed") {
  const BudgetTotal total{900, 0};
  CHECK(NextLimit({1000, 500, 120, 120, 200}, total) == 200);
  CHECK(NextLimit({1000, 500, 120, 120, 0}, total) == 120);
}

TEST_CASE("a share's bound follows its pace up to its limit") {
  const BudgetShare share{1, 1000, 100, 150, 5'000, 50, 200};
  CHECK(share.CapAt(5'000) == 200);
  CHECK(share.CapAt(6'000) == 400);
  CHECK(share.CapAt(60'000) == 1000);
  // A store clock that went back proves nothing.
  CHECK(share.CapAt(4'999) == 1000);
}

TEST_CASE("a share's bound is low while its checkpoint is young") {
  const BudgetShare share{1, 10'000, 100, 150, 5'000, 50, 200, 20, 2'500};
  CHECK(share.CapAt(5'000) == 200);
  CHECK(share.CapAt(6'000) == 220);
  CHECK(share.CapAt(7'499) == 249);
  CHECK(share.CapAt(7'500) == 700);
  CHECK(share.CapAt(8'000) == 800);
}

TEST_CASE("tokens are usable only once the write is acknowledged") {
  BudgetManager budgets = HomeManager(7, Absent());
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 100, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
  const std::vector<BudgetRows> rows = budgets.PlanWrites(At(1), 1);
  REQUIRE(rows.size() == 1);
  CHECK(budgets.Reserve("t", 100, At(2), source) ==
        BudgetVerdict::kLimitTooLow);
  budgets.OnWritten("t", 1);
  CHECK(budgets.Reserve("t", 100, At(3), source) == BudgetVerdict::kReserved);
}

TEST_CASE("a write of unknown outcome leaves the lower limit in force") {
  BudgetManager budgets = HomeManager(7, Absent());
  (void)budgets.PlanWrites(At(1), 1);
  budgets.OnWritten("t", 1);
  BudgetSource source = BudgetSource::kShare;
  const std::int64_t limit = budgets.AllStats().front().limit;
  budgets.ActAsHome("t", At(0));
  const std::vector<BudgetRows> lowered = budgets.PlanWrites(At(2'000), 1);
  REQUIRE(lowered.size() == 1);
  CHECK(lowered.front().share.limit == 0);
  budgets.OnWriteUnknown("t");
  CHECK(budgets.Reserve("t", 1, At(2'001), source) != BudgetVerdict::kReserved);
  // The row still shows the higher limit: the write may yet be carried out.
  BudgetRows seen = lowered.front();
  seen.share.limit = limit;
  seen.share.burst = limit;
  seen.total_version = seen.share_version = 1;
  budgets.OnRead(seen);
  CHECK(budgets.Reserve("t", 1, At(2'002), source) != BudgetVerdict::kReserved);
}

TEST_CASE("a successor frees what its predecessor's pace left") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  // Killed within a second of the checkpoint at 9,500 ms.
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 10'000, 20'000};
  BudgetManager budgets = HomeManager(7, rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  const std::int64_t own = planned.front().share.limit;
  // 30,000 + 10,000 at once + 20,000 a second for half a second and the drift.
  const std::int64_t predecessor = planned.front().total.committed - own;
  CHECK(predecessor >= 50'000);
  CHECK(predecessor <= 51'000);
}

TEST_CASE("a successor that comes late to the store loses nothing by it") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 10'000, 20'000};
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  // The store answers 8 s after the start, and took up to 0.1 s for it.
  budgets.OnStoreClock(18'000, At(7'900), At(8'000));
  budgets.OnRead(rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(8'000), 1);
  REQUIRE(planned.size() == 1);
  // The predecessor ended by 10,100 ms of the store's clock, and 1% for drift:
  // 30,000 + 10,000 at once + 20,000 a second for 0.68 s and its own drift.
  CHECK(planned.front().total.committed >= 53'580);
  CHECK(planned.front().total.committed <= 54'000);
}

// In a cut every VM finds the homes silent, and keeps tokens itself.
TEST_CASE("pattern: a VM that stands in for a home draws for its own demand") {
  BudgetRows rows = Absent();
  rows.total = {200'000, 0};
  rows.total_version = 4;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 1'000, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
  budgets.NoteShortfall("t", 1'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(1), 1);
  REQUIRE(planned.size() == 1);
  // The request, and another of its size.
  CHECK(planned.front().share.limit == 2'000);
  CHECK(planned.front().share.burst == 2'000);
}

TEST_CASE("a successor goes on with the demand that its predecessor had") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 7'000, 15'000};
  BudgetManager budgets = HomeManager(7, rows);
  budgets.SetPrepaid("t", 2'000'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  // 10,000 a second: 0.7 s of it at once, and half as much again as rate.
  CHECK(planned.front().share.limit == 150'000);
  CHECK(planned.front().share.burst == 7'000);
  CHECK(planned.front().share.per_second == 15'000);
  CHECK(planned.front().share.initial_per_second == 15'000);
  // Committed at the checkpoint, the burst, and the pace of 0.5 s, of which
  // 20,000 are known to be spent; 7 ms more for clocks that differ.
  CHECK(planned.front().stranded == 10'000 + 7'000 + 7'500 + 105);
}

TEST_CASE("what the pace holds back is told apart from what is not there") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 7'000, 15'000};
  BudgetManager budgets = HomeManager(7, rows);
  REQUIRE(budgets.PlanWrites(At(0), 1).size() == 1);
  budgets.OnWritten("t", 4);
  budgets.SetReachable(false);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 90'000, At(1), source) ==
        BudgetVerdict::kRateLimited);
  CHECK(budgets.DrawAsFallback("t", 90'000, At(1)) ==
        BudgetVerdict::kRateLimited);
  CHECK(budgets.VerdictFor("t", 900'000, At(1)) != BudgetVerdict::kRateLimited);
  // The same while nobody knows whether a later write was done.
  budgets.SetReachable(true);
  REQUIRE(budgets.PlanWrites(At(600), 1).size() == 1);
  budgets.OnWriteUnknown("t");
  budgets.SetReachable(false);
  CHECK(budgets.VerdictFor("t", 90'000, At(700)) ==
        BudgetVerdict::kRateLimited);
}

TEST_CASE("where little is left the pace of a young checkpoint is lower") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 7'000, 15'000};
  BudgetManager budgets = HomeManager(7, rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  const BudgetShare& share = planned.front().share;
  CHECK(share.limit == 150'000);
  CHECK(share.per_second == 15'000);
  // 500,000 unclaimed and 150,000 here: a death may strand a twentieth.
  const std::int64_t after = share.checkpoint_ms + share.initial_rate_ms - 1;
  CHECK(share.CapAt(after) - share.committed <= 32'500);
  CHECK(share.CapAt(after) - share.committed > 32'000);
  CHECK(share.CapAt(after + 1) - share.committed >= 37'500);
}

// A store that answers slowly, and many budgets to write at once.
TEST_CASE("pattern: a write that is out holds up no other organisation") {
  BudgetManager budgets({7, At(0)}, {});
  for (const char* name : {"a", "b"}) {
    BudgetRows rows;
    rows.organisation = name;
    budgets.SetPrepaid(name, 1'000'000);
    budgets.ActAsHome(name, At(60'000));
    budgets.OnRead(rows);
  }
  const std::vector<BudgetRows> first = budgets.PlanWrites(At(1), 1);
  REQUIRE(first.size() == 1);
  const std::vector<BudgetRows> second = budgets.PlanWrites(At(2), 8);
  REQUIRE(second.size() == 1);
  CHECK(second.front().organisation != first.front().organisation);
  budgets.OnWritten(second.front().organisation, 4);
  CHECK(budgets.IsBusy(first.front().organisation));
  CHECK_FALSE(budgets.IsBusy(second.front().organisation));
}

TEST_CASE("rows are read by those who keep, need or inherited a budget") {
  BudgetManager budgets({7, At(0)}, {});
  for (const char* name : {"idle", "inherited", "kept", "wanted"}) {
    budgets.SetPrepaid(name, 1'000'000);
  }
  budgets.ActAsHome("kept", At(60'000));
  budgets.NoteShortfall("wanted", 10);
  CHECK(budgets.NotePredecessor("inherited"));
  CHECK_FALSE(budgets.NotePredecessor("unknown"));
  const std::vector<std::string> reads = budgets.PlanReads(At(1), 8);
  CHECK(reads == std::vector<std::string>{"inherited", "kept", "wanted"});
  CHECK(budgets.PlanReads(At(2), 8).empty());
  budgets.OnReadFailed("kept");
  CHECK(budgets.PlanReads(At(3), 8).size() == 1);
}

// A manager that keeps nothing and has read what a predecessor left.
BudgetManager SuccessorOf(std::int64_t limit) {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.NotePredecessor("t");
  budgets.OnStoreClock(10'000, At(0), At(0));
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, limit, 20'000, 30'000, 9'500, 0, 0};
  CHECK(budgets.PlanReads(At(1), 1).size() == 1);
  budgets.OnRead(rows);
  return budgets;
}

TEST_CASE("a share that holds much is closed at once, others in their turn") {
  BudgetManager large = SuccessorOf(120'000);
  CHECK(large.PlanWrites(At(2), 1).size() == 1);
  BudgetManager small = SuccessorOf(25'000);
  CHECK(small.PlanWrites(At(2), 1).empty());
  CHECK(small.PlanReads(At(4'002), 1).size() == 1);
}

// What a conflict's answer shows of the rows.
BudgetRows Changed() {
  BudgetRows rows = Absent();
  rows.total = {400'000, 0};
  rows.total_version = 9;
  return rows;
}

TEST_CASE("after a conflict a home writes again at once") {
  BudgetManager budgets = HomeManager(7, Absent());
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 100, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
  REQUIRE(budgets.PlanWrites(At(1), 1).size() == 1);
  budgets.OnConflict(Changed(), At(5));
  const std::vector<BudgetRows> again = budgets.PlanWrites(At(5), 1);
  REQUIRE(again.size() == 1);
  CHECK(again.front().total_version == 9);
}

TEST_CASE("after a conflict a stand-in waits, and reads before it writes") {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.OnStoreClock(10'000, At(0), At(0));
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 100, At(0), source) ==
        BudgetVerdict::kLimitTooLow);
  CHECK(budgets.DrawAsFallback("t", 100, At(0)) == BudgetVerdict::kLimitTooLow);
  REQUIRE(budgets.PlanReads(At(1), 1).size() == 1);
  budgets.OnRead(Absent());
  REQUIRE(budgets.PlanWrites(At(1), 1).size() == 1);
  budgets.OnConflict(Changed(), At(5));
  CHECK(budgets.PlanWrites(At(5), 1).empty());
  REQUIRE(budgets.PlanReads(At(105), 1).size() == 1);
  budgets.OnRead(Changed());
  CHECK(budgets.PlanWrites(At(105), 1).size() == 1);
}

TEST_CASE("without the store nobody stands in for a home") {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.SetReachable(false);
  CHECK(budgets.DrawAsFallback("t", 100, At(0)) ==
        BudgetVerdict::kHeldElsewhere);
  budgets.SetReachable(true);
  CHECK(budgets.PlanReads(At(1), 1).empty());
}

TEST_CASE("what other VMs hold is refused at once and looked for again") {
  BudgetRows rows = Absent();
  rows.total = {990'000, 100'000};
  rows.total_version = 4;
  rows.held_elsewhere = 890'000;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 50'000, At(1), source) ==
        BudgetVerdict::kHeldElsewhere);
  CHECK(budgets.PlanReads(At(2), 1).size() == 1);
  budgets.OnRead(rows);
  CHECK(budgets.Reserve("t", 50'000, At(3), source) ==
        BudgetVerdict::kHeldElsewhere);
  CHECK(budgets.PlanReads(At(4), 1).empty());
  CHECK(budgets.PlanReads(At(400), 1).size() == 1);
}

TEST_CASE("a budget counts as exhausted only when nobody holds enough of it") {
  BudgetRows rows = Absent();
  rows.total = {1'000'000, 990'000};
  rows.total_version = 4;
  rows.held_elsewhere = 10'000;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 5'000, At(1), source) ==
        BudgetVerdict::kHeldElsewhere);
  CHECK(budgets.Reserve("t", 50'000, At(1), source) ==
        BudgetVerdict::kExhausted);
  // It is looked at again: somebody may have handed tokens back.
  CHECK(budgets.PlanReads(At(2), 1).size() == 1);
}

// Tokens that a peer gave and that came back have been counted as spent, so
// that what is known of the spending may pass what was prepaid.
TEST_CASE("spending that was counted twice exhausts no budget") {
  BudgetRows rows = Absent();
  rows.total = {900'000, 1'200'000};
  rows.total_version = 4;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 50'000, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
}

TEST_CASE("a gift counts as spent by its giver and can be spent once") {
  BudgetManager giver = HomeManager(7, Absent());
  (void)giver.PlanWrites(At(1), 1);
  giver.OnWritten("t", 1);
  BudgetManager taker = HomeManager(8, Absent());
  const std::int64_t given = giver.Give("t", 1'000, 5'000, At(2));
  CHECK(given >= 1'000);
  CHECK(giver.AllStats().front().spent == given);
  taker.AddGift("t", given);
  BudgetSource source = BudgetSource::kShare;
  CHECK(taker.Reserve("t", given, At(3), source) == BudgetVerdict::kReserved);
  CHECK(source == BudgetSource::kGift);
  CHECK(taker.Reserve("t", 1, At(3), source) != BudgetVerdict::kReserved);
  taker.Settle("t", given, given / 2, BudgetSource::kGift);
  taker.BeginStop();
  CHECK(taker.WithdrawExcessGifts("t") == given - given / 2);
  CHECK(taker.WithdrawExcessGifts("t") == 0);
}

TEST_CASE("a gift counts once, and only for the process it was meant for") {
  policy::GiftDeduplicator gifts(7);
  CHECK(gifts.Accept(100, 7, At(0)));
  CHECK_FALSE(gifts.Accept(100, 7, At(10)));
  // A paused giver sends again what a predecessor had taken and spent.
  CHECK_FALSE(gifts.Accept(200, 6, At(20)));
  CHECK(gifts.Accept(200, 7, At(30)));
  for (std::uint64_t id = 1'000; id < 20'000; ++id) {
    CHECK(gifts.Accept(id, 7, At(40)));
  }
  CHECK_FALSE(gifts.Accept(100, 7, At(59'000)));
}

TEST_CASE("a home's gifts go back to the store, once") {
  BudgetRows rows = Absent();
  rows.total = {500'000, 0};
  rows.total_version = 2;
  BudgetManager budgets = HomeManager(7, rows);
  budgets.AddGift("t", 40'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(1), 1);
  REQUIRE(planned.size() == 1);
  CHECK(planned.front().total.committed ==
        500'000 + planned.front().share.limit - 40'000);
  // Until the outcome is known they can't be spent here, nor ever if it stays
  // unknown; a write that was not done brings them back.
  CHECK(budgets.WithdrawUnreservedGifts("t") == 0);
  budgets.OnNotWritten("t");
  CHECK(budgets.WithdrawUnreservedGifts("t") == 40'000);
}

TEST_CASE("all that a share leaves can be given, and counts as spent") {
  BudgetManager budgets = HomeManager(7, Absent());
  (void)budgets.PlanWrites(At(1), 1);
  budgets.OnWritten("t", 1);
  const std::int64_t limit = budgets.AllStats().front().limit;
  CHECK(budgets.GiveAll("t", At(2)) == limit);
  CHECK(budgets.GiveAll("t", At(2)) == 0);
  CHECK(budgets.AllStats().front().spent == limit);
}

TEST_CASE("no schedule of kills, cuts and lost answers overspends") {
  std::int64_t served = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    for (const HoldStrategy strategy :
         {HoldStrategy::kHomes, HoldStrategy::kEachVm}) {
      FleetOptions options = Rough(seed);
      options.strategy = strategy;
      const FleetResult result = BudgetFleet(options).Run();
      INFO("seed ", seed, ": ", result.violation);
      REQUIRE(result.violation.empty());
      served += result.served;
    }
  }
  CHECK(served > 0);
}

TEST_CASE("the check notices each broken rule") {
  CHECK(Notices(FleetMutation::kAckBeforeWrite));
  CHECK(Notices(FleetMutation::kForgetsPace));
  CHECK(Notices(FleetMutation::kGiftCountedTwice));
}

// The users' standard day: two cuts of 8 s, a hot organisation, everyone
// killed.
TEST_CASE("pattern: cuts and a kill of everyone refuse little that fits") {
  FleetOptions options;
  options.standard_day = true;
  options.prepaid = 4'500'000;
  const FleetResult homes = BudgetFleet(options).Run();
  CHECK(homes.overspend == 0);
  options.strategy = HoldStrategy::kNoReclaim;
  const FleetResult none = BudgetFleet(options).Run();
  CHECK(homes.refused_that_fitted * 2 < none.refused_that_fitted);
}

// Organisations may count on 97 in 100 of their budgets, also when everyone is
// killed as the budgets run out.
TEST_CASE("pattern: a kill of everyone strands little of what is left") {
  FleetOptions options;
  options.standard_day = true;
  options.vms = 8;
  options.organisations = 10;
  options.prepaid = 1'470'000;  // what is asked for in 34 s
  const FleetResult scarce = BudgetFleet(options).Run();
  CHECK(scarce.overspend == 0);
  const double stranded = static_cast<double>(scarce.stranded) /
                          static_cast<double>(10 * options.prepaid);
  CHECK(stranded < 0.03);
  options.budgets.rate.max_stranded_fraction = 10;
  const FleetResult careless = BudgetFleet(options).Run();
  CHECK(scarce.refused_owed * 3 < careless.refused_owed);
}

TEST_CASE("pattern: outages cost nothing while a budget is plentiful") {
  FleetOptions options;
  options.standard_day = true;
  options.prepaid = 40'000'000;
  const FleetResult plentiful = BudgetFleet(options).Run();
  options.budgets.rate.max_stranded_fraction = 10;
  const FleetResult careless = BudgetFleet(options).Run();
  CHECK(plentiful.refused == careless.refused);
}

// Everyone is restarted in turn and then killed at once, so that many VMs have
// shares of each budget to close. The store carries out their writes one by
// one, and of those that met only one succeeds.
TEST_CASE("pattern: many successors leave a home its turn at the store") {
  FleetOptions options;
  options.standard_day = true;
  options.rolled = true;
  options.vms = 100;
  options.organisations = 10;
  options.prepaid = 4'500'000;
  const FleetResult spread = BudgetFleet(options).Run();
  CHECK(spread.overspend == 0);
  CHECK(spread.refused_after_kill == 0);
  options.mutation = FleetMutation::kWritesAtOnce;
  const FleetResult at_once = BudgetFleet(options).Run();
  CHECK(spread.conflicts * 10 < at_once.conflicts);
  CHECK(spread.refused_that_fitted * 2 < at_once.refused_that_fitted);
}

}  // namespace
}  // namespace hornbeamspool
