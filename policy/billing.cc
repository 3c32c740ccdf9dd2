#include "policy/billing.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace hornbeamspool::policy {
namespace {

// Names the row of a settlement: one transaction may write a row only once.
const std::string& OrganisationOf(const Settlement& settlement) {
  return settlement.has_bill ? settlement.bill.organisation
                             : settlement.order.organisation;
}

const std::string& RequestKeyOf(const Settlement& settlement) {
  return settlement.has_bill ? settlement.bill.request_key
                             : settlement.order.request_key;
}

bool SharesRow(std::span<const Settlement> batch, const Settlement& next) {
  return std::any_of(batch.begin(), batch.end(), [&](const Settlement& other) {
    return RequestKeyOf(other) == RequestKeyOf(next) &&
           OrganisationOf(other) == OrganisationOf(next);
  });
}

}  // namespace

void Billing::Add(Settlement settlement) {
  settlement.sequence = this->next_sequence++;
  this->queue.push_back(std::move(settlement));
}

std::vector<Settlement> Billing::TakeBatch(coordination::TimePoint now) {
  if (!this->outstanding.empty()) return {};
  if (now < this->not_before) return {};
  while (!this->queue.empty() && this->outstanding.size() < kMaxBatch) {
    if (SharesRow(this->outstanding, this->queue.front())) break;
    this->outstanding.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  return this->outstanding;
}

std::vector<SettledEntry> Billing::OnWritten(const BatchWritten& written,
                                             coordination::TimePoint now) {
  const auto names = [](std::span<const std::uint64_t> sequences,
                        std::uint64_t sequence) {
    return std::find(sequences.begin(), sequences.end(), sequence) !=
           sequences.end();
  };
  std::vector<SettledEntry> done;
  std::vector<Settlement> again;
  const bool all = written.status == TableStatus::kOk;
  for (Settlement& settlement : std::exchange(this->outstanding, {})) {
    const bool duplicate = names(written.duplicates, settlement.sequence);
    const bool landed = names(written.already_written, settlement.sequence);
    if (all || duplicate || landed) {
      done.push_back(SettledEntry{std::move(settlement), duplicate});
    } else {
      again.push_back(std::move(settlement));
    }
  }
  // The others go back to the front, in their order.
  this->queue.insert(this->queue.begin(),
                     std::make_move_iterator(again.begin()),
                     std::make_move_iterator(again.end()));
  if (done.empty()) this->not_before = now + kRetryAfter;
  return done;
}

}  // namespace hornbeamspool::policy
