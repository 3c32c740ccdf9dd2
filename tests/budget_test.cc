// Tests of prepaid budgets: the arithmetic of limits, BudgetManager, and
// randomised runs of a simulated fleet. Mutations of the model show that the
// checks of these runs detect overspending.
#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "bench/budget_simulation.h"
#include "policy/budget_manager.h"
#include "policy/budget_share.h"
#include "policy/gift_deduplicator.h"

namespace hornbeamspool {
namespace {

using bench::BudgetMutation;
using bench::BudgetSimulation;
using bench::BudgetSimulationOptions;
using bench::BudgetSimulationResult;
using bench::ShareStrategy;
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

// A budget that runs out, while VMs are killed and cut off from the store,
// writes are late, and answers and datagrams are lost.
BudgetSimulationOptions FaultyFleet(std::uint64_t seed) {
  BudgetSimulationOptions options;
  options.seed = seed;
  options.vms = 2 + seed % 6;
  options.organisations = 1 + seed % 3;
  options.prepaid = 600'000;
  options.length = std::chrono::seconds(25);
  options.kill_rate = 0.05;
  options.partition_rate = 0.05;
  options.lost_answer_rate = 0.1;
  options.lost_datagram_rate = 0.05;
  return options;
}

// Whether any of the runs with this mutation overspends.
bool DetectsMutation(BudgetMutation mutation) {
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    BudgetSimulationOptions options = FaultyFleet(seed);
    options.mutation = mutation;
    if (!BudgetSimulation(options).Run().violation.empty()) return true;
  }
  return false;
}

coordination::TimePoint At(std::int64_t ms) {
  return coordination::TimePoint(std::chrono::milliseconds(ms));
}

// A manager of a VM that is the organisation's home and has read `rows`.
BudgetManager HomeManager(std::uint64_t incarnation, const BudgetRows& rows) {
  BudgetManager budgets({incarnation, At(0)}, {});
  budgets.SetPrepaid(rows.organisation, 1'000'000);
  budgets.OnStoreClock(10'000, At(0), At(0));
  budgets.OnRead(rows);
  budgets.ActAsHome(rows.organisation, At(60'000));
  return budgets;
}

// The rows of an organisation whose budget was never drawn on.
BudgetRows AbsentRows() {
  BudgetRows rows;
  rows.organisation = "t";
  return rows;
}

TEST_CASE(
    "a limit grows by the shortfall and by up to half of the uncommitted "
    "rest") {
  const BudgetTotal total{400, 0};
  CHECK(NextLimit({1000, 100, 50, 50, 1000}, total) == 100 + 600 / 2);
  // A waiting request may take all that is left.
  CHECK(NextLimit({1000, 100, 50, 700, 700}, total) == 700);
  // One that doesn't fit gets nothing.
  CHECK(NextLimit({1000, 100, 50, 701, 50}, total) == 50);
}

TEST_CASE(
    "a limit shrinks to the wanted one, but not below the committed tokens") {
  const BudgetTotal total{900, 0};
  CHECK(NextLimit({1000, 500, 120, 120, 200}, total) == 200);
  CHECK(NextLimit({1000, 500, 120, 120, 0}, total) == 120);
}

TEST_CASE("a share's cap grows at its rate up to its limit") {
  const BudgetShare share{1, 1000, 100, 150, 5'000, 50, 200};
  CHECK(share.CapAt(5'000) == 200);
  CHECK(share.CapAt(6'000) == 400);
  CHECK(share.CapAt(60'000) == 1000);
  // After the store's clock went back, the elapsed time is not known.
  CHECK(share.CapAt(4'999) == 1000);
}

TEST_CASE("a share's cap grows at the initial rate after a checkpoint") {
  const BudgetShare share{1, 10'000, 100, 150, 5'000, 50, 200, 20, 2'500};
  CHECK(share.CapAt(5'000) == 200);
  CHECK(share.CapAt(6'000) == 220);
  CHECK(share.CapAt(7'499) == 249);
  CHECK(share.CapAt(7'500) == 700);
  CHECK(share.CapAt(8'000) == 800);
}

TEST_CASE("tokens can be reserved only after the write is acknowledged") {
  BudgetManager budgets = HomeManager(7, AbsentRows());
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
  BudgetManager budgets = HomeManager(7, AbsentRows());
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
  // The stored limit is still the higher one: the write may be carried out
  // later.
  BudgetRows seen = lowered.front();
  seen.share.limit = limit;
  seen.share.burst = limit;
  seen.total_version = seen.share_version = 1;
  budgets.OnRead(seen);
  CHECK(budgets.Reserve("t", 1, At(2'002), source) != BudgetVerdict::kReserved);
}

TEST_CASE("a successor returns what its predecessor's rate limit left") {
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  // Killed within a second of the checkpoint at 9,500 ms.
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 10'000, 20'000};
  BudgetManager budgets = HomeManager(7, rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  const std::int64_t own = planned.front().share.limit;
  // 30,000 committed, a burst of 10,000, and 20,000 tokens per second for half
  // a second and the drift.
  const std::int64_t predecessor = planned.front().total.committed - own;
  CHECK(predecessor >= 50'000);
  CHECK(predecessor <= 51'000);
}

TEST_CASE("a successor that reaches the store late returns as much") {
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 10'000, 20'000};
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  // The store answers 8 s after the start, up to 0.1 s after it was asked.
  budgets.OnStoreClock(18'000, At(7'900), At(8'000));
  budgets.OnRead(rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(8'000), 1);
  REQUIRE(planned.size() == 1);
  // The predecessor ended by 10,100 ms of the store's clock, plus 1% of 7.9 s
  // for drift: 30,000 committed, a burst of 10,000, and 20,000 tokens per
  // second for 0.68 s and the drift of that time.
  CHECK(planned.front().total.committed >= 53'580);
  CHECK(planned.front().total.committed <= 54'000);
}

// When VMs can't reach each other, each becomes a home. If each drew the
// initial limit of a budget, few tokens would be left for the others.
TEST_CASE("a further home draws for its own demand only") {
  BudgetRows rows = AbsentRows();
  rows.total = {200'000, 0};
  rows.total_version = 4;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 1'000, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
  budgets.AddShortfall("t", 1'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(1), 1);
  REQUIRE(planned.size() == 1);
  // The request and one more of its size.
  CHECK(planned.front().share.limit == 2'000);
  CHECK(planned.front().share.burst == 2'000);
}

TEST_CASE("a successor inherits the demand of its predecessor") {
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 7'000, 15'000};
  BudgetManager budgets = HomeManager(7, rows);
  budgets.SetPrepaid("t", 2'000'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  // A demand of 10,000 tokens per second: the burst is 0.7 s of it, the
  // rate 1.5 times as much.
  CHECK(planned.front().share.limit == 150'000);
  CHECK(planned.front().share.burst == 7'000);
  CHECK(planned.front().share.per_second == 15'000);
  CHECK(planned.front().share.initial_per_second == 15'000);
  // 30,000 were committed at the checkpoint, of which 20,000 are known to be
  // spent; then the burst, and the rate for 0.5 s and 7 ms of clock drift.
  CHECK(planned.front().stranded == 10'000 + 7'000 + 7'500 + 105);
}

TEST_CASE("the verdict distinguishes a rate limit from a lack of tokens") {
  BudgetRows rows = AbsentRows();
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
  // Also while the outcome of a later write is unknown.
  budgets.SetReachable(true);
  REQUIRE(budgets.PlanWrites(At(600), 1).size() == 1);
  budgets.OnWriteUnknown("t");
  budgets.SetReachable(false);
  CHECK(budgets.VerdictFor("t", 90'000, At(700)) ==
        BudgetVerdict::kRateLimited);
}

TEST_CASE("the initial rate is lower where few tokens are left") {
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, 500'000, 20'000, 30'000, 9'500, 7'000, 15'000};
  BudgetManager budgets = HomeManager(7, rows);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(0), 1);
  REQUIRE(planned.size() == 1);
  const BudgetShare& share = planned.front().share;
  CHECK(share.limit == 150'000);
  CHECK(share.per_second == 15'000);
  // 500,000 tokens uncommitted and 150,000 here: a kill may strand 5% of them.
  const std::int64_t after = share.checkpoint_ms + share.initial_rate_ms - 1;
  CHECK(share.CapAt(after) - share.committed <= 32'500);
  CHECK(share.CapAt(after) - share.committed > 32'000);
  CHECK(share.CapAt(after + 1) - share.committed >= 37'500);
}

// When the store is slow, one write for all organisations at a time would delay
// the requests of most of them.
TEST_CASE("an outstanding write delays no other organisation") {
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

TEST_CASE("rows are read by homes, successors and VMs with waiting requests") {
  BudgetManager budgets({7, At(0)}, {});
  for (const char* name : {"home", "idle", "inherited", "wanted"}) {
    budgets.SetPrepaid(name, 1'000'000);
  }
  budgets.ActAsHome("home", At(60'000));
  budgets.AddShortfall("wanted", 10);
  CHECK(budgets.ScheduleInheritedRead("inherited"));
  CHECK_FALSE(budgets.ScheduleInheritedRead("unknown"));
  const std::vector<std::string> reads = budgets.PlanReads(At(1), 8);
  CHECK(reads == std::vector<std::string>{"home", "inherited", "wanted"});
  CHECK(budgets.PlanReads(At(2), 8).empty());
  budgets.OnReadFailed("home");
  CHECK(budgets.PlanReads(At(3), 8).size() == 1);
}

// A manager of a VM that is no home, and that has read the share of `limit`
// tokens that its predecessor left.
BudgetManager SuccessorOf(std::int64_t limit) {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.ScheduleInheritedRead("t");
  budgets.OnStoreClock(10'000, At(0), At(0));
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = rows.share_version = 3;
  rows.share = {6, limit, 20'000, 30'000, 9'500, 0, 0};
  CHECK(budgets.PlanReads(At(1), 1).size() == 1);
  budgets.OnRead(rows);
  return budgets;
}

TEST_CASE(
    "a share with many unspent tokens is closed at once, others after a "
    "delay") {
  BudgetManager large = SuccessorOf(120'000);
  CHECK(large.PlanWrites(At(2), 1).size() == 1);
  BudgetManager small = SuccessorOf(25'000);
  CHECK(small.PlanWrites(At(2), 1).empty());
  CHECK(small.PlanReads(At(4'002), 1).size() == 1);
}

// The rows in the store after a write by another VM.
BudgetRows ChangedRows() {
  BudgetRows rows = AbsentRows();
  rows.total = {400'000, 0};
  rows.total_version = 9;
  return rows;
}

TEST_CASE("after a conflict a home writes again at once") {
  BudgetManager budgets = HomeManager(7, AbsentRows());
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 100, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
  REQUIRE(budgets.PlanWrites(At(1), 1).size() == 1);
  budgets.OnConflict(ChangedRows(), At(5));
  const std::vector<BudgetRows> again = budgets.PlanWrites(At(5), 1);
  REQUIRE(again.size() == 1);
  CHECK(again.front().total_version == 9);
}

TEST_CASE("after a conflict a fallback VM waits, and reads before it writes") {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.OnStoreClock(10'000, At(0), At(0));
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 100, At(0), source) ==
        BudgetVerdict::kLimitTooLow);
  CHECK(budgets.DrawAsFallback("t", 100, At(0)) == BudgetVerdict::kLimitTooLow);
  REQUIRE(budgets.PlanReads(At(1), 1).size() == 1);
  budgets.OnRead(AbsentRows());
  REQUIRE(budgets.PlanWrites(At(1), 1).size() == 1);
  budgets.OnConflict(ChangedRows(), At(5));
  CHECK(budgets.PlanWrites(At(5), 1).empty());
  REQUIRE(budgets.PlanReads(At(105), 1).size() == 1);
  budgets.OnRead(ChangedRows());
  CHECK(budgets.PlanWrites(At(105), 1).size() == 1);
}

TEST_CASE("a VM draws no fallback share while the store is unreachable") {
  BudgetManager budgets({7, At(0)}, {});
  budgets.SetPrepaid("t", 1'000'000);
  budgets.SetReachable(false);
  CHECK(budgets.DrawAsFallback("t", 100, At(0)) ==
        BudgetVerdict::kHeldElsewhere);
  budgets.SetReachable(true);
  CHECK(budgets.PlanReads(At(1), 1).empty());
}

TEST_CASE(
    "a request for tokens held elsewhere is refused, and the rows are read "
    "again") {
  BudgetRows rows = AbsentRows();
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

TEST_CASE("a budget is exhausted only when other VMs hold too little of it") {
  BudgetRows rows = AbsentRows();
  rows.total = {1'000'000, 990'000};
  rows.total_version = 4;
  rows.held_elsewhere = 10'000;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 5'000, At(1), source) ==
        BudgetVerdict::kHeldElsewhere);
  CHECK(budgets.Reserve("t", 50'000, At(1), source) ==
        BudgetVerdict::kExhausted);
  // The rows are read again: another VM may have returned tokens.
  CHECK(budgets.PlanReads(At(2), 1).size() == 1);
}

// Gifts count as spent at the giver, and again at a later one after they were
// returned. The sum of known spending may therefore exceed the prepaid tokens.
TEST_CASE("known spending above the prepaid tokens exhausts no budget") {
  BudgetRows rows = AbsentRows();
  rows.total = {900'000, 1'200'000};
  rows.total_version = 4;
  BudgetManager budgets = HomeManager(7, rows);
  BudgetSource source = BudgetSource::kShare;
  CHECK(budgets.Reserve("t", 50'000, At(1), source) ==
        BudgetVerdict::kLimitTooLow);
}

TEST_CASE("a gift counts as spent at the giver and can be spent once") {
  BudgetManager giver = HomeManager(7, AbsentRows());
  (void)giver.PlanWrites(At(1), 1);
  giver.OnWritten("t", 1);
  BudgetManager receiver = HomeManager(8, AbsentRows());
  const std::int64_t given = giver.Give("t", 1'000, 5'000, At(2));
  CHECK(given >= 1'000);
  CHECK(giver.AllStats().front().spent == given);
  receiver.AddGift("t", given);
  BudgetSource source = BudgetSource::kShare;
  CHECK(receiver.Reserve("t", given, At(3), source) ==
        BudgetVerdict::kReserved);
  CHECK(source == BudgetSource::kGift);
  CHECK(receiver.Reserve("t", 1, At(3), source) != BudgetVerdict::kReserved);
  receiver.Settle("t", given, given / 2, BudgetSource::kGift);
  receiver.BeginStop();
  CHECK(receiver.WithdrawExcessGifts("t") == given - given / 2);
  CHECK(receiver.WithdrawExcessGifts("t") == 0);
}

TEST_CASE("a gift is accepted once, and only by the process it was sent to") {
  policy::GiftDeduplicator gifts(7);
  CHECK(gifts.Accept(100, 7, At(0)));
  CHECK_FALSE(gifts.Accept(100, 7, At(10)));
  // A giver that was paused resends a gift that a predecessor may have spent.
  CHECK_FALSE(gifts.Accept(200, 6, At(20)));
  CHECK(gifts.Accept(200, 7, At(30)));
  for (std::uint64_t id = 1'000; id < 20'000; ++id) {
    CHECK(gifts.Accept(id, 7, At(40)));
  }
  CHECK_FALSE(gifts.Accept(100, 7, At(59'000)));
}

TEST_CASE("a home returns its gifts to the store once") {
  BudgetRows rows = AbsentRows();
  rows.total = {500'000, 0};
  rows.total_version = 2;
  BudgetManager budgets = HomeManager(7, rows);
  budgets.AddGift("t", 40'000);
  const std::vector<BudgetRows> planned = budgets.PlanWrites(At(1), 1);
  REQUIRE(planned.size() == 1);
  CHECK(planned.front().total.committed ==
        500'000 + planned.front().share.limit - 40'000);
  // While the write is outstanding the gifts can't be spent. They can again if
  // it was not carried out, but never if its outcome is unknown.
  CHECK(budgets.WithdrawUnreservedGifts("t") == 0);
  budgets.OnNotWritten("t");
  CHECK(budgets.WithdrawUnreservedGifts("t") == 40'000);
}

TEST_CASE("all available tokens of a share can be given, and count as spent") {
  BudgetManager budgets = HomeManager(7, AbsentRows());
  (void)budgets.PlanWrites(At(1), 1);
  budgets.OnWritten("t", 1);
  const std::int64_t limit = budgets.AllStats().front().limit;
  CHECK(budgets.GiveAll("t", At(2)) == limit);
  CHECK(budgets.GiveAll("t", At(2)) == 0);
  CHECK(budgets.AllStats().front().spent == limit);
}

// A home that holds a limit, when the store is restored at 1 s.
struct RestoredHome {
  RestoredHome() : budgets(HomeManager(7, AbsentRows())) {
    this->budgets.OnEra(1, At(1));
    const std::vector<BudgetRows> planned = this->budgets.PlanWrites(At(1), 1);
    this->held = planned.front();
    this->budgets.OnWritten("t", 5);
    this->budgets.OnEra(2, At(1'000));
  }
  // The write that follows when the store holds these rows.
  std::vector<BudgetRows> WriteAfterRead(const BudgetRows& rows) {
    CHECK(this->budgets.PlanReads(At(1'000), 1).size() == 1);
    this->budgets.OnRead(rows);
    return this->budgets.PlanWrites(At(1'010), 1);
  }

  BudgetManager budgets;
  BudgetRows held;
};

TEST_CASE("a VM writes the share that a restored store has lost again") {
  RestoredHome home;
  const std::vector<BudgetRows> written = home.WriteAfterRead(AbsentRows());
  REQUIRE(written.size() == 1);
  CHECK(written.front().share.limit == home.held.share.limit);
  CHECK(written.front().total.committed == home.held.total.committed);
}

TEST_CASE("no limit is raised before all VMs have written their shares again") {
  RestoredHome home;
  BudgetRows rows = AbsentRows();
  rows.held_elsewhere = 1'000;
  rows.unasserted_elsewhere = true;
  REQUIRE(home.WriteAfterRead(rows).size() == 1);
  home.budgets.OnWritten("t", 6);
  for (const std::int64_t ms : {2'000, 4'900, 9'000}) {
    home.budgets.AddShortfall("t", home.held.share.limit * 2);
    for (const BudgetRows& next : home.budgets.PlanWrites(At(ms), 1)) {
      CHECK(next.share.limit <= home.held.share.limit);
      home.budgets.OnWritten("t", static_cast<std::uint64_t>(ms));
    }
  }
  rows = home.held;
  rows.held_elsewhere = 1'000;
  rows.unasserted_elsewhere = false;
  home.budgets.OnRead(rows);
  home.budgets.AddShortfall("t", home.held.share.limit * 2);
  const std::vector<BudgetRows> raised = home.budgets.PlanWrites(At(9'600), 1);
  REQUIRE(raised.size() == 1);
  CHECK(raised.front().share.limit > home.held.share.limit);
}

// Tokens that a VM had returned after the copy were spent by others meanwhile.
TEST_CASE("a restored share gives no returned tokens back") {
  RestoredHome home;
  BudgetRows rows = home.held;
  rows.share.limit *= 2;
  rows.share.burst *= 2;
  rows.total.committed *= 2;
  CHECK(home.budgets.PlanReads(At(1'000), 1).size() == 1);
  home.budgets.OnRead(rows);
  CHECK(home.budgets.AvailableShare("t", At(1'001)) <= home.held.share.limit);
  const std::vector<BudgetRows> written = home.budgets.PlanWrites(At(1'010), 1);
  REQUIRE(written.size() == 1);
  CHECK(written.front().share.limit <= home.held.share.limit);
}

TEST_CASE("no run with kills, partitions and lost answers overspends") {
  std::int64_t served = 0;
  for (std::uint64_t seed = 1; seed <= kRuns; ++seed) {
    for (const ShareStrategy strategy :
         {ShareStrategy::kHomes, ShareStrategy::kEachVm}) {
      BudgetSimulationOptions options = FaultyFleet(seed);
      options.strategy = strategy;
      const BudgetSimulationResult result = BudgetSimulation(options).Run();
      INFO("seed ", seed, ": ", result.violation);
      REQUIRE(result.violation.empty());
      served += result.served;
    }
  }
  CHECK(served > 0);
}

TEST_CASE("the check detects each mutation") {
  CHECK(DetectsMutation(BudgetMutation::kAcksLostWrite));
  CHECK(DetectsMutation(BudgetMutation::kIgnoresRateLimit));
  CHECK(DetectsMutation(BudgetMutation::kGiftCountedTwice));
}

// The users' standard day: two store outages of 8 s, one organisation with a
// peak in demand, and a kill of all VMs. A successor that doesn't return what
// its predecessor left makes requests fail that fit into the budget.
TEST_CASE("outages and a kill of all VMs refuse little that fits") {
  BudgetSimulationOptions options;
  options.standard_day = true;
  options.prepaid = 4'500'000;
  const BudgetSimulationResult homes = BudgetSimulation(options).Run();
  CHECK(homes.overspend == 0);
  options.strategy = ShareStrategy::kNoReclaim;
  const BudgetSimulationResult none = BudgetSimulation(options).Run();
  CHECK(homes.refused_within_budget * 2 < none.refused_within_budget);
}

// Organisations can rely on 97% of their budgets, also when all VMs are killed
// as the budgets run out. At the full rate each kill would strand too much
// then.
TEST_CASE("a kill of all VMs strands little of what is left") {
  BudgetSimulationOptions options;
  options.standard_day = true;
  options.vms = 8;
  options.organisations = 10;
  options.prepaid = 1'470'000;  // the demand of 34 s
  const BudgetSimulationResult scarce = BudgetSimulation(options).Run();
  CHECK(scarce.overspend == 0);
  const double stranded = static_cast<double>(scarce.stranded) /
                          static_cast<double>(10 * options.prepaid);
  CHECK(stranded < 0.03);
  options.budgets.rate.max_stranded_fraction = 10;
  const BudgetSimulationResult full_rate = BudgetSimulation(options).Run();
  CHECK(scarce.refused_within_guarantee * 3 <
        full_rate.refused_within_guarantee);
}

// The lower initial rate must not delay requests while many tokens are left.
TEST_CASE("the initial rate refuses nothing while a budget is plentiful") {
  BudgetSimulationOptions options;
  options.standard_day = true;
  options.prepaid = 40'000'000;
  const BudgetSimulationResult plentiful = BudgetSimulation(options).Run();
  options.budgets.rate.max_stranded_fraction = 10;
  const BudgetSimulationResult full_rate = BudgetSimulation(options).Run();
  CHECK(plentiful.refused == full_rate.refused);
}

// All VMs are restarted in turn and then killed at once, so that many have
// shares of each budget to close. The store carries out transactions on a
// budget one at a time, and of concurrent ones only one succeeds. If all VMs
// wrote at once, the writes of the home would rarely succeed.
TEST_CASE("closing many shares at once does not starve a home") {
  BudgetSimulationOptions options;
  options.standard_day = true;
  options.rolling_restart = true;
  options.vms = 100;
  options.organisations = 10;
  options.prepaid = 4'500'000;
  const BudgetSimulationResult spread = BudgetSimulation(options).Run();
  CHECK(spread.overspend == 0);
  CHECK(spread.refused_after_kill == 0);
  options.mutation = BudgetMutation::kNoBackoff;
  const BudgetSimulationResult at_once = BudgetSimulation(options).Run();
  CHECK(spread.conflicts * 10 < at_once.conflicts);
  CHECK(spread.refused_within_budget * 2 < at_once.refused_within_budget);
}

}  // namespace
}  // namespace hornbeamspool
