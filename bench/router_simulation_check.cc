// The invariant checks of RouterSimulation, and the drain at its end.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "bench/router_simulation.h"
#include "bench/router_simulation_parts.h"

namespace hornbeamspool::bench {
namespace {

// A drain that takes more steps is reported as a violation.
constexpr int kMaxDrainSteps = 20'000;

}  // namespace

// Each run of a request counts until one of them is billed. From then on only
// the bill counts, since all other runs of the request are refunded.
void RouterSimulation::RecordSpending(const std::string& budget,
                                      const std::string& key,
                                      std::int64_t tokens) {
  const std::string bill = BillRowKey(kOrganisation, key, kFingerprint);
  if (this->table.Bills().contains(bill)) return;
  this->unbilled[budget] += tokens;
  this->unbilled_runs[bill] += tokens;
}

void RouterSimulation::RecordBills() {
  for (const std::string& name : this->table.TakeNewBills()) {
    const BillRow& bill = this->table.Bills().at(name);
    this->billed[bill.budget] += bill.amount;
    this->unbilled[bill.budget] -= std::exchange(this->unbilled_runs[name], 0);
  }
}

std::int64_t RouterSimulation::SpentTokens(const std::string& budget) const {
  const auto bills = this->billed.find(budget);
  const auto runs = this->unbilled.find(budget);
  return (bills == this->billed.end() ? 0 : bills->second) +
         (runs == this->unbilled.end() ? 0 : runs->second);
}

std::int64_t RouterSimulation::UnspentTokens(const std::string& budget) const {
  const auto row = this->table.Budgets().find(budget);
  return row->second.ledger.total - this->SpentTokens(budget);
}

void RouterSimulation::CheckInvariants() {
  this->RecordBills();
  for (const auto& [name, row] : this->table.Budgets()) {
    if (row.ledger.granted > row.ledger.total) {
      this->ReportViolation("granted more than prepaid: " + name);
    }
    const std::int64_t over = this->SpentTokens(name) - row.ledger.total;
    if (over <= 0) continue;
    this->result.overspend = std::max(this->result.overspend, over);
    this->ReportViolation("overspent: " + name);
  }
  for (const auto& node : this->nodes) {
    if (node->router == nullptr || node->router->Consistent()) continue;
    this->ReportViolation("account invariant violated");
  }
  for (const auto& [key, bill] : this->table.Bills()) {
    if (bill.write_count > 1) this->ReportViolation("billed twice: " + key);
  }
}

void RouterSimulation::Drain() {
  this->draining = true;
  this->table_down_until = {};
  this->pending_retries.clear();
  for (const auto& node : this->nodes) {
    node->partitioned_until = {};
    node->paused_until = {};
    if (node->router != nullptr) node->router->BeginStop();
  }
  for (int i = 0; i < kMaxDrainSteps; ++i) {
    this->Step(false);
    this->pending_retries.clear();
    const bool stopped = std::all_of(
        this->nodes.begin(), this->nodes.end(), [](const auto& node) {
          return node->router == nullptr || node->router->Stopped();
        });
    if (stopped && this->messages.empty()) {
      this->CheckAfterDrain();
      return;
    }
  }
  this->ReportViolation("router did not stop");
}

void RouterSimulation::CheckAfterDrain() {
  // Every answered request of a router that didn't crash must be billed.
  for (const auto& [key, holder] : this->expected_bills) {
    const std::string bill = BillRowKey(kOrganisation, key, kFingerprint);
    if (this->table.Bills().contains(bill)) continue;
    std::string text = "not billed: ";
    text += key;
    text += " of ";
    text += holder;
    this->ReportViolation(std::move(text));
  }
  std::map<std::string, std::int64_t> billed;
  for (const auto& [key, bill] : this->table.Bills()) {
    billed[bill.budget] += bill.amount;
  }
  for (const auto& [name, row] : this->table.Budgets()) {
    if (billed[name] > row.ledger.total) {
      this->ReportViolation("billed beyond prepaid");
    }
    // A planned stop must not strand tokens: a stopped router has spent all of
    // its grant. Only crashed routers hold unspent grants.
    std::int64_t held_by_stopped = 0;
    for (const auto& node : this->nodes) {
      if (node->router == nullptr) continue;
      const auto stats = node->router->AllStats();
      const auto found = stats.find(name);
      const std::int64_t spent = found == stats.end() ? 0 : found->second.spent;
      const std::int64_t grant = this->table.GrantOf(name, node->holder);
      held_by_stopped += grant;
      if (grant != spent) {
        this->ReportViolation("planned stop stranded tokens: " + name);
      }
    }
    this->result.stranded +=
        row.ledger.granted - std::max(billed[name], held_by_stopped);
  }
}

}  // namespace hornbeamspool::bench
