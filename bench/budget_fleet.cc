#include "bench/budget_fleet.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::bench {
namespace {

using coordination::Duration;
using coordination::TimePoint;
using policy::BudgetManager;
using policy::BudgetRows;
using policy::BudgetSource;
using policy::BudgetVerdict;

constexpr Duration kStep = std::chrono::milliseconds(10);
constexpr Duration kStoreTime = std::chrono::milliseconds(3);
constexpr Duration kAnswerLimit = std::chrono::milliseconds(1200);
constexpr Duration kServiceTime = std::chrono::milliseconds(800);
constexpr Duration kRetryTime = std::chrono::milliseconds(20);
constexpr Duration kHomeTime = std::chrono::seconds(4);
constexpr Duration kReturnInterval = std::chrono::milliseconds(500);
constexpr int kTries = 10;
constexpr std::size_t kHomes = 2;

// The part of a budget that its organisation may count on.
constexpr double kOwedPart = 0.97;

// The standard day's end: everyone is killed, and back after this time.
constexpr Duration kKillAt = std::chrono::seconds(34);
constexpr Duration kDownTime = std::chrono::milliseconds(1300);

// A request's worst case, and the part of it that is spent.
constexpr std::int64_t kLeastTokens = 200;
constexpr std::int64_t kMostTokens = 12'000;
constexpr double kUsedPart = 0.9;

double SecondsOf(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::int64_t StoreMs(TimePoint now) {
  return coordination::Milliseconds(now.time_since_epoch());
}

}  // namespace

BudgetFleet::BudgetFleet(const FleetOptions& options)
    : options(options), random(options.seed) {
  this->vms.resize(options.vms);
  for (std::size_t i = 0; i < options.organisations; ++i) {
    this->organisations.push_back(
        {"organisation-" + std::to_string(i), 0, 0, 1});
  }
  for (std::size_t vm = 0; vm < options.vms; ++vm) this->Start(vm);
}

bool BudgetFleet::Reaches(std::size_t vm) const {
  return this->vms[vm].up && !this->vms[vm].cut;
}

void BudgetFleet::Start(std::size_t vm) {
  Vm& state = this->vms[vm];
  state.up = true;
  state.budgets = std::make_unique<BudgetManager>(
      policy::ProcessStart{this->next_incarnation++, this->now},
      this->options.budgets);
  for (const OrganisationState& organisation : this->organisations) {
    state.budgets->SetPrepaid(organisation.name, this->options.prepaid);
    state.budgets->ScheduleInheritedRead(organisation.name);
    const bool at_once = this->options.mutation == FleetMutation::kWritesAtOnce;
    if (at_once) state.budgets->AddShortfall(organisation.name, 1);
  }
}

// What the process had set aside is spent by the upstreams, or not at all; the
// model takes it as unspent, which leaves the most to its successor.
void BudgetFleet::Kill(std::size_t vm, Duration down) {
  Vm& state = this->vms[vm];
  if (!state.up) return;
  for (const auto& figures : state.budgets->AllStats()) {
    this->result.lost_gifts += figures.gifts;
  }
  state.up = false;
  state.up_at = this->now + down;
  state.budgets.reset();
}

void BudgetFleet::Later(Duration delay, std::function<void()> run) {
  this->events.emplace(this->now + delay, std::move(run));
}

void BudgetFleet::Faults() {
  const double step = SecondsOf(kStep);
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    Vm& vm = this->vms[i];
    if (!vm.up && this->now >= vm.up_at) this->Start(i);
    if (vm.cut && this->now >= vm.cut_until) vm.cut = false;
    if (this->Draw() < this->options.kill_rate * step) {
      this->Kill(i, std::chrono::milliseconds(
                        300 + static_cast<std::int64_t>(this->Draw() * 3000)));
    }
    if (!vm.cut && this->Draw() < this->options.cut_rate * step) {
      vm.cut = true;
      vm.cut_until =
          this->now + std::chrono::milliseconds(
                          static_cast<std::int64_t>(this->Draw() * 9000));
    }
  }
  if (this->options.standard_day) this->StandardDay();
  if (this->options.rolled) this->Roll();
}

void BudgetFleet::Roll() {
  const double share =
      SecondsOf(this->now.time_since_epoch()) / SecondsOf(kKillAt);
  const auto due =
      static_cast<std::size_t>(share * static_cast<double>(this->vms.size()));
  for (; this->rolled < std::min(due, this->vms.size()); ++this->rolled) {
    this->Kill(this->rolled, std::chrono::milliseconds(500));
  }
}

void BudgetFleet::StandardDay() {
  const double at = SecondsOf(this->now.time_since_epoch());
  const auto begins = [at](double second) {
    return at >= second && at < second + SecondsOf(kStep);
  };
  for (const double second : {6.0, 24.0}) {
    if (!begins(second)) continue;
    for (Vm& vm : this->vms) {
      vm.cut = true;
      vm.cut_until = this->now + std::chrono::seconds(8);
    }
  }
  this->organisations.front().share = at >= 15 && at < 21 ? 2.3 : 1;
  if (!begins(SecondsOf(kKillAt))) return;
  // Each is back within a quarter of a second of the others, in no order.
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const auto later = static_cast<std::int64_t>(this->Draw() * 250);
    this->Kill(i, kDownTime + std::chrono::milliseconds(later));
  }
}

void BudgetFleet::Arrivals() {
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    const double rate = this->options.requests_per_second *
                        this->organisations[i].share /
                        static_cast<double>(this->organisations.size());
    std::poisson_distribution<int> count(rate * SecondsOf(kStep));
    for (int n = count(this->random); n > 0; --n) {
      // Most requests of a organisation come through one VM.
      const std::size_t usual = (i * 3 + 1) % this->vms.size();
      const auto any = static_cast<std::size_t>(
          this->Draw() * static_cast<double>(this->vms.size()));
      const std::size_t vm = this->Draw() < 0.5 ? usual : any;
      const auto amount = kLeastTokens + static_cast<std::int64_t>(
                                             this->Draw() * this->Draw() *
                                             static_cast<double>(kMostTokens));
      if (!this->vms[vm].up) continue;
      ++this->result.requests;
      this->Serve(vm, i, amount, kTries);
    }
  }
}

std::size_t BudgetFleet::HomeOf(std::size_t organisation) const {
  for (std::size_t i = 0; i < this->vms.size(); ++i) {
    const std::size_t vm = (organisation + i) % this->vms.size();
    if (this->vms[vm].up) return vm;
  }
  return organisation % this->vms.size();
}

// Asks the organisation's two homes in turn for tokens. One that is down is
// silent. The datagram with them may get lost, or come twice. False when none
// has answered for good.
bool BudgetFleet::AskHomes(std::size_t vm, std::size_t organisation,
                           std::int64_t amount) {
  const std::string& name = this->organisations[organisation].name;
  for (std::size_t rank = 0; rank < kHomes; ++rank) {
    const std::size_t home = (organisation + rank) % this->vms.size();
    if (home == vm) return false;
    if (!this->vms[home].up) continue;
    BudgetManager& giver = *this->vms[home].budgets;
    if (rank == 0) giver.ActAsHome(name, this->now + kHomeTime);
    const std::int64_t wanted =
        amount + this->vms[vm].budgets->WantedGift(name);
    const std::int64_t given = giver.Give(name, amount, wanted, this->now);
    if (given == 0) {
      if (!this->Reaches(home)) continue;
      if (rank == 0) {
        giver.AddShortfall(name, amount);
      } else {
        giver.DrawAsFallback(name, amount, this->now);
      }
      return true;
    }
    if (this->Draw() < this->options.lost_datagram_rate) return true;
    this->vms[vm].budgets->AddGift(name, given);
    if (this->options.mutation == FleetMutation::kGiftCountedTwice) {
      this->vms[vm].budgets->AddGift(name, given);
    }
    return true;
  }
  return false;
}

void BudgetFleet::Serve(std::size_t vm, std::size_t organisation,
                        std::int64_t amount, int tries_left) {
  if (!this->vms[vm].up) return;
  OrganisationState& state = this->organisations[organisation];
  BudgetManager& budgets = *this->vms[vm].budgets;
  BudgetSource source = BudgetSource::kShare;
  const BudgetVerdict verdict =
      budgets.Reserve(state.name, amount, this->now, source);
  if (verdict == BudgetVerdict::kReserved) {
    ++this->result.served;
    const auto used =
        static_cast<std::int64_t>(static_cast<double>(amount) * kUsedPart);
    state.spent += used;
    this->Check(organisation);
    BudgetManager* same = &budgets;
    this->Later(kServiceTime,
                [this, vm, same, organisation, amount, used, source] {
                  if (this->vms[vm].budgets.get() != same) return;
                  same->Settle(this->organisations[organisation].name, amount,
                               used, source);
                });
    return;
  }
  bool asked = false;
  if (this->options.strategy != HoldStrategy::kEachVm) {
    asked = this->AskHomes(vm, organisation, amount);
  }
  if (!asked) budgets.DrawAsFallback(state.name, amount, this->now);
  if (tries_left > 0) {
    this->Later(kRetryTime, [this, vm, organisation, amount, tries_left] {
      this->Serve(vm, organisation, amount, tries_left - 1);
    });
    return;
  }
  ++this->result.refused;
  if (state.spent + amount > this->options.prepaid) return;
  ++this->result.refused_that_fitted;
  const bool owed = static_cast<double>(state.spent + amount) <=
                    kOwedPart * static_cast<double>(this->options.prepaid);
  if (owed) ++this->result.refused_owed;
  const Duration since = this->now.time_since_epoch() - kKillAt - kDownTime;
  const bool after_kill =
      since >= std::chrono::seconds(1) && since < std::chrono::seconds(6);
  if (after_kill) ++this->result.refused_after_kill;
}

void BudgetFleet::Check(std::size_t organisation) {
  const std::int64_t over =
      this->organisations[organisation].spent - this->options.prepaid;
  if (over <= 0) return;
  this->result.overspend = std::max(this->result.overspend, over);
  if (!this->result.violation.empty()) return;
  this->result.violation = "overspend of " + std::to_string(over) + " at " +
                           std::to_string(StoreMs(this->now)) + " ms";
}

BudgetRows BudgetFleet::RowsOf(std::size_t vm,
                               const std::string& organisation) {
  const StoredRows& stored = this->store[organisation];
  BudgetRows row;
  row.organisation = organisation;
  row.total = stored.total;
  row.total_version = stored.total_version;
  if (const auto found = stored.shares.find(vm); found != stored.shares.end()) {
    row.share = found->second.first;
    row.share_version = found->second.second;
  }
  std::int64_t elsewhere = 0;
  for (const auto& [other, share] : stored.shares) {
    if (other == vm) continue;
    elsewhere +=
        std::max<std::int64_t>(0, share.first.limit - share.first.spent);
  }
  row.held_elsewhere = elsewhere;
  const bool forgets = this->options.mutation == FleetMutation::kForgetsPace;
  if (forgets) row.share.burst = row.share.per_second = 0;
  if (this->options.strategy == HoldStrategy::kNoReclaim) {
    row.share.burst = row.share.limit;
  }
  return row;
}

void BudgetFleet::ReadInto(std::size_t vm, const std::string& organisation) {
  this->vms[vm].budgets->OnStoreClock(StoreMs(this->now), this->now, this->now);
  this->vms[vm].budgets->OnRead(this->RowsOf(vm, organisation));
}

bool BudgetFleet::Apply(std::size_t vm, const BudgetRows& row) {
  StoredRows& stored = this->store[row.organisation];
  const auto found = stored.shares.find(vm);
  const std::uint64_t share_version =
      found == stored.shares.end() ? 0 : found->second.second;
  const bool holds = stored.total_version == row.total_version &&
                     share_version == row.share_version;
  if (!holds) return false;
  ++this->store_version;
  stored.total = row.total;
  stored.total_version = this->store_version;
  stored.shares[vm] = {row.share, this->store_version};
  return true;
}

// One look of a VM at what is due, as its keeper takes it.
void BudgetFleet::Look(std::size_t vm) {
  if (!this->vms[vm].up) return;
  BudgetManager& budgets = *this->vms[vm].budgets;
  budgets.SetReachable(this->Reaches(vm));
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    const bool holds = this->options.strategy == HoldStrategy::kEachVm ||
                       this->HomeOf(i) == vm;
    if (!holds) continue;
    budgets.ActAsHome(this->organisations[i].name, this->now + kHomeTime);
  }
  this->ReturnIdleGifts(vm);
  if (this->Reaches(vm)) {
    for (const std::string& organisation :
         budgets.PlanReads(this->now, this->organisations.size())) {
      ++this->result.store_calls;
      this->ReadInto(vm, organisation);
    }
  }
  for (const BudgetRows& rows :
       budgets.PlanWrites(this->now, this->organisations.size())) {
    this->Write(vm, rows);
  }
}

// Now and then; where the home is up, it takes what this VM does not need.
void BudgetFleet::ReturnIdleGifts(std::size_t vm) {
  Vm& state = this->vms[vm];
  if (this->now < state.next_return) return;
  state.next_return = this->now + kReturnInterval;
  for (std::size_t i = 0; i < this->organisations.size(); ++i) {
    const std::size_t home = this->HomeOf(i);
    if (home == vm || !this->vms[home].up) continue;
    const std::string& name = this->organisations[i].name;
    const std::int64_t idle = state.budgets->WithdrawExcessGifts(name);
    if (this->Draw() < this->options.lost_datagram_rate) continue;
    this->vms[home].budgets->AddGift(name, idle);
  }
}

void BudgetFleet::Write(std::size_t vm, const BudgetRows& rows) {
  BudgetManager* budgets = this->vms[vm].budgets.get();
  ++this->result.store_calls;
  const bool lost = this->Draw() < this->options.lost_answer_rate;
  const bool reaches = this->Reaches(vm);
  const auto alive = [this, vm, budgets] {
    return this->vms[vm].budgets.get() == budgets;
  };
  if (!reaches || lost) {
    // Perhaps done, now or seconds later.
    if (reaches && this->Draw() < 0.7) {
      this->Later(std::chrono::milliseconds(
                      static_cast<std::int64_t>(this->Draw() * 6000)),
                  [this, vm, rows] { this->Apply(vm, rows); });
    }
    this->Later(kAnswerLimit, [this, alive, budgets, rows] {
      if (!alive()) return;
      if (this->options.mutation == FleetMutation::kAckBeforeWrite) {
        budgets->OnWritten(rows.organisation, this->store_version);
      }
      budgets->OnWriteUnknown(rows.organisation);
    });
    return;
  }
  StoredRows& stored = this->store[rows.organisation];
  stored.busy_until = std::max(stored.busy_until, this->now + kStoreTime) +
                      this->options.transaction_time;
  this->Later(stored.busy_until - this->now, [this, vm, rows, alive, budgets,
                                              asked = this->now] {
    const bool done = this->Apply(vm, rows);
    if (!done) ++this->result.conflicts;
    if (!alive()) return;
    budgets->OnStoreClock(StoreMs(this->now), asked, this->now);
    if (done) {
      budgets->OnWritten(rows.organisation, this->store_version);
      return;
    }
    if (this->options.mutation == FleetMutation::kWritesAtOnce) {
      budgets->OnNotWritten(rows.organisation);
      this->ReadInto(vm, rows.organisation);
      return;
    }
    budgets->OnConflict(this->RowsOf(vm, rows.organisation), this->now);
  });
}

FleetResult BudgetFleet::Run() {
  const TimePoint end = this->now + this->options.length;
  while (this->now < end) {
    this->now += kStep;
    this->Faults();
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      const auto run = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      run();
    }
    this->Arrivals();
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) this->Look(vm);
  }
  for (const OrganisationState& organisation : this->organisations) {
    this->result.spent += organisation.spent;
    std::int64_t held = 0;
    for (const Vm& vm : this->vms) {
      if (!vm.up) continue;
      for (const auto& figures : vm.budgets->AllStats()) {
        if (figures.organisation != organisation.name) continue;
        held += figures.limit - figures.spent;
      }
    }
    this->result.stranded += this->store[organisation.name].total.committed -
                             organisation.spent - held;
  }
  return this->result;
}

}  // namespace hornbeamspool::bench
