#include "policy/budget_desk.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::policy {
namespace {

// Until a tenant's demand is known, a VM asks for this part of its budget:
// small enough for a fleet of 16 VMs, large enough for the first second.
constexpr std::int64_t kFirstPart = 32;

// Demand may double during an outage.
constexpr double kDemandReserve = 1.5;

// A limit is kept while it is off by less than one part in this many.
constexpr std::int64_t kDeadband = 5;

// Rows of one transaction: two for each tenant, at most 100 entries.
constexpr std::size_t kMostTenantsPerWrite = 24;

}  // namespace

void BudgetDesk::SetPrepaid(std::string_view tenant, std::int64_t prepaid) {
  auto [found, added] = this->entries.try_emplace(std::string(tenant));
  found->second.prepaid = prepaid;
  if (!added) return;
  found->second.rows.tenant = std::string(tenant);
  this->needs_read = true;
}

BudgetVerdict BudgetDesk::Reserve(std::string_view tenant,
                                  std::int64_t amount) {
  const auto found = this->entries.find(tenant);
  if (found == this->entries.end()) return BudgetVerdict::kLacking;
  Entry& entry = found->second;
  if (entry.account.Reserve(amount)) return BudgetVerdict::kReserved;
  if (!entry.fresh) return BudgetVerdict::kLacking;
  const std::int64_t unknown_here =
      entry.account.Spent() - entry.rows.share.spent;
  const std::int64_t left =
      entry.prepaid - entry.rows.total.known_spent - unknown_here;
  return left < amount ? BudgetVerdict::kExhausted : BudgetVerdict::kLacking;
}

void BudgetDesk::Settle(std::string_view tenant, std::int64_t amount,
                        std::int64_t used) {
  const auto found = this->entries.find(tenant);
  if (found == this->entries.end()) return;
  found->second.account.Settle(amount, used);
}

void BudgetDesk::NoteLacking(std::string_view tenant, std::int64_t amount) {
  const auto found = this->entries.find(tenant);
  if (found == this->entries.end()) return;
  found->second.lacking += amount;
  this->urgent = true;
}

std::int64_t BudgetDesk::WantedLimit(const Entry& entry) const {
  const TenantAccount& account = entry.account;
  if (this->stopping) return account.Committed();
  const double outage =
      std::chrono::duration<double>(this->options.bridged_outage).count();
  const auto expected = static_cast<std::int64_t>(account.DemandPerSecond() *
                                                  outage * kDemandReserve);
  const std::int64_t first = account.Committed() == 0 && account.Limit() == 0
                                 ? entry.prepaid / kFirstPart
                                 : 0;
  return account.Committed() +
         std::max({expected, account.LargestRequest() * 2, first});
}

bool BudgetDesk::IsDue(const Entry& entry, std::int64_t next_limit) const {
  const std::int64_t held = entry.account.Limit();
  const std::int64_t hold = next_limit - entry.account.Committed();
  if (this->stopping) return next_limit != held;
  return std::abs(next_limit - held) * kDeadband > hold || entry.lacking > 0;
}

BudgetRows BudgetDesk::NextRows(const Entry& entry, std::int64_t limit) const {
  BudgetRows next = entry.rows;
  const bool mine = entry.rows.share.incarnation == this->incarnation;
  // A predecessor's limit stays committed: what it spent can't be known.
  const BudgetShare before = mine ? entry.rows.share : BudgetShare{};
  next.share.incarnation = this->incarnation;
  next.share.limit = limit;
  next.share.spent = entry.account.Spent();
  next.total.committed += limit - before.limit;
  next.total.known_spent += next.share.spent - before.spent;
  return next;
}

std::vector<BudgetRows> BudgetDesk::PlanWrite(coordination::TimePoint now) {
  if (this->needs_read || this->WriteOutstanding()) return {};
  if (now < this->next_write && !this->urgent && !this->stopping) return {};
  if (this->last_sample != coordination::TimePoint{}) {
    for (auto& [tenant, entry] : this->entries) {
      entry.account.SampleDemand(now - this->last_sample);
    }
  }
  this->last_sample = now;
  this->next_write = now + this->options.write_interval;
  this->urgent = false;
  for (auto& [tenant, entry] : this->entries) {
    TenantAccount& account = entry.account;
    const LimitRequest request{
        entry.prepaid, account.Limit(), account.Committed(),
        account.Committed() + entry.lacking, this->WantedLimit(entry)};
    const std::int64_t limit = NextLimit(request, entry.rows.total);
    const bool due = this->IsDue(entry, limit);
    entry.lacking = 0;
    if (!due || this->pending.size() >= kMostTenantsPerWrite) continue;
    this->pending.push_back(this->NextRows(entry, limit));
    account.SetLimit(std::min(account.Limit(), limit));
  }
  return this->pending;
}

void BudgetDesk::OnWritten(std::uint64_t version) {
  for (BudgetRows& rows : this->pending) {
    rows.total_version = version;
    rows.share_version = version;
    Entry& entry = this->entries.find(rows.tenant)->second;
    entry.unresolved = false;
    entry.account.SetLimit(rows.share.limit);
    entry.rows = rows;
  }
  this->pending.clear();
}

void BudgetDesk::OnNotWritten() {
  for (const BudgetRows& rows : this->pending) {
    Entry& entry = this->entries.find(rows.tenant)->second;
    if (entry.unresolved) continue;
    const bool mine = entry.rows.share.incarnation == this->incarnation;
    entry.account.SetLimit(mine ? entry.rows.share.limit : 0);
  }
  this->pending.clear();
}

void BudgetDesk::OnUnknown() {
  for (const BudgetRows& rows : this->pending) {
    this->entries.find(rows.tenant)->second.unresolved = true;
  }
  this->pending.clear();
  this->needs_read = true;
}

void BudgetDesk::Adopt(Entry& entry, const BudgetRows& rows) {
  entry.rows = rows;
  entry.fresh = true;
  const bool mine = rows.share.incarnation == this->incarnation;
  const std::int64_t limit = mine ? rows.share.limit : 0;
  // While a write may still be carried out, only the lower limit is safe.
  entry.account.SetLimit(
      entry.unresolved ? std::min(limit, entry.account.Limit()) : limit);
}

void BudgetDesk::OnRead(std::span<const BudgetRows> rows) {
  for (const BudgetRows& row : rows) {
    const auto found = this->entries.find(row.tenant);
    if (found != this->entries.end()) this->Adopt(found->second, row);
  }
  this->needs_read = false;
  this->urgent = true;
}

std::vector<std::string> BudgetDesk::Tenants() const {
  std::vector<std::string> tenants;
  for (const auto& [tenant, entry] : this->entries) tenants.push_back(tenant);
  return tenants;
}

bool BudgetDesk::AllReturned() const {
  if (this->WriteOutstanding()) return false;
  for (const auto& [tenant, entry] : this->entries) {
    if (entry.account.Limit() != entry.account.Spent()) return false;
  }
  return true;
}

std::vector<BudgetDesk::Figures> BudgetDesk::AllFigures() const {
  std::vector<Figures> figures;
  for (const auto& [tenant, entry] : this->entries) {
    figures.push_back({tenant, entry.prepaid, entry.account.Limit(),
                       entry.account.Spent(), entry.account.Reserved(),
                       entry.rows.total.committed,
                       entry.rows.total.known_spent});
  }
  return figures;
}

}  // namespace hornbeamspool::policy
