// A fleet of gateways' budget managers in virtual time, with a store that is
// cut off, loses answers and carries writes out late, VMs that are killed, and
// datagrams that get lost or come twice. Drives the real decisions.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coordination/time.h"
#include "policy/budget_manager.h"

namespace hornbeamspool::bench {

// Who holds a organisation's tokens.
enum class ShareStrategy : std::uint8_t {
  kHomes,      // one VM for each organisation, which gives to the others
  kEachVm,     // every VM holds a share of its own; a baseline
  kNoReclaim,  // homes, and a successor takes the whole limit as spent
  kCount
};

// Deliberate faults of the model, which the check of the budget must notice.
enum class BudgetMutation : std::uint8_t {
  kNone,
  kAcksLostWrite,     // a write is taken as done when its answer is lost
  kIgnoresRateLimit,  // a successor takes the checkpoint as all that was spent
  kGiftCountedTwice,  // a gift that comes twice counts twice
  kNoBackoff,         // VMs close shares and repeat writes without a pause
  kCount
};

struct BudgetSimulationOptions {
  std::uint64_t seed = 1;
  std::size_t vms = 7;
  std::size_t organisations = 4;
  std::int64_t prepaid = 2'000'000;  // tokens of each organisation
  double requests_per_second = 120;  // of the whole fleet
  coordination::Duration length = std::chrono::seconds(50);
  ShareStrategy strategy = ShareStrategy::kHomes;
  BudgetMutation mutation = BudgetMutation::kNone;
  policy::BudgetManagerOptions budgets;
  // Chances, for each second and VM, of a kill and of a cut from the store.
  double kill_rate = 0;
  double partition_rate = 0;
  double lost_answer_rate = 0;  // of writes
  double lost_datagram_rate = 0;
  // Transactions on one organisation's rows follow each other, each taking so
  // long; those whose conditions fail, too.
  coordination::Duration transaction_time = std::chrono::milliseconds(5);
  // A day as the users' standard days are: all VMs cut from the store for 8 s
  // twice, a organisation that sends 2.3 times its usual, all killed at 34 s.
  bool standard_day = false;
  // VMs restarted one after the other, all of them before that kill.
  bool rolling_restart = false;
};

struct BudgetSimulationResult {
  std::string violation;  // empty: none
  std::int64_t requests = 0;
  std::int64_t served = 0;
  std::int64_t refused = 0;
  std::int64_t refused_within_budget = 0;
  // Of these, such that fitted into 97 in 100 of the budget.
  std::int64_t refused_within_guarantee = 0;
  // Of these, in the time from the first to the sixth second after everyone
  // was killed.
  std::int64_t refused_after_kill = 0;
  std::int64_t conflicts = 0;  // writes whose conditions failed
  std::int64_t spent = 0;
  std::int64_t stranded = 0;  // committed at the end, and nobody's
  std::int64_t gifts_lost_in_kills =
      0;  // of these, held by VMs that were killed
  std::int64_t store_calls = 0;
  std::int64_t overspend = 0;
};

class BudgetSimulation {
 public:
  explicit BudgetSimulation(const BudgetSimulationOptions& options);
  BudgetSimulationResult Run();

 private:
  struct Vm {
    std::unique_ptr<policy::BudgetManager> budgets;
    bool up = false;
    bool partitioned = false;
    coordination::TimePoint restart_at{};
    coordination::TimePoint partitioned_until{};
    coordination::TimePoint next_return{};  // of idle gifts
  };
  struct OrganisationState {
    std::string name;
    std::int64_t spent = 0;      // in truth
    std::int64_t in_flight = 0;  // worst cases of what runs
    double traffic_weight = 1;
  };
  struct StoredRows {
    policy::BudgetTotal total;
    std::uint64_t total_version = 0;
    std::map<std::size_t, std::pair<policy::BudgetShare, std::uint64_t>> shares;
    coordination::TimePoint busy_until{};  // with transactions that wait
  };
  double RandomFraction() { return this->uniform(this->random); }
  bool ReachesStore(std::size_t vm) const;
  void Start(std::size_t vm);
  void Kill(std::size_t vm, coordination::Duration down);
  void Schedule(coordination::Duration delay, std::function<void()> run);
  void InjectFaults();
  void InjectStandardDayFaults();
  void RollingRestart();
  void GenerateRequests();
  void Serve(std::size_t vm, std::size_t organisation, std::int64_t amount,
             int retries_left);
  bool AskForGift(std::size_t vm, std::size_t organisation,
                  std::int64_t amount);
  std::size_t HomeOf(std::size_t organisation) const;
  void PollManager(std::size_t vm);
  void ReturnExcessGifts(std::size_t vm);
  void Write(std::size_t vm, const policy::BudgetRows& rows);
  policy::BudgetRows RowsFor(std::size_t vm, const std::string& organisation);
  void ReadRows(std::size_t vm, const std::string& organisation);
  // Applies a write whose conditions hold; returns whether it did.
  bool ApplyWrite(std::size_t vm, const policy::BudgetRows& rows);
  void CheckOverspend(std::size_t organisation);

  BudgetSimulationOptions options;
  std::mt19937_64 random;
  std::uniform_real_distribution<double> uniform{0, 1};
  coordination::TimePoint now{};
  std::vector<Vm> vms;
  std::vector<OrganisationState> organisations;
  std::map<std::string, StoredRows> store;
  std::uint64_t store_version = 0;
  std::uint64_t next_incarnation = 1;
  std::size_t restarted_vms = 0;
  std::multimap<coordination::TimePoint, std::function<void()>> events;
  BudgetSimulationResult result;
};

}  // namespace hornbeamspool::bench
