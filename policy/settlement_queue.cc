#include "policy/settlement_queue.h"

#include <algorithm>
#include <iterator>
#include <span>
#include <utility>

namespace hornbeamspool::policy {
namespace {

// The organisation and the request key identify the rows of a settlement.
const std::string& OrganisationOf(const Settlement& settlement) {
  return settlement.has_bill ? settlement.bill.organisation
                             : settlement.order.organisation;
}

const std::string& RequestKeyOf(const Settlement& settlement) {
  return settlement.has_bill ? settlement.bill.request_key
                             : settlement.order.request_key;
}

// Whether `next` writes a row that `batch` writes too: a transaction may write
// each row only once.
bool SharesRow(std::span<const Settlement> batch, const Settlement& next) {
  return std::any_of(batch.begin(), batch.end(), [&](const Settlement& other) {
    return RequestKeyOf(other) == RequestKeyOf(next) &&
           OrganisationOf(other) == OrganisationOf(next);
  });
}

}  // namespace

void SettlementQueue::Add(Settlement settlement) {
  settlement.sequence = this->next_sequence++;
  this->queue.push_back(std::move(settlement));
}

std::vector<Settlement> SettlementQueue::TakeBatch(
    coordination::TimePoint now) {
  if (!this->outstanding.empty()) return {};
  if (now < this->retry_at) return {};
  while (!this->queue.empty() && this->outstanding.size() < kMaxBatch) {
    if (SharesRow(this->outstanding, this->queue.front())) break;
    this->outstanding.push_back(std::move(this->queue.front()));
    this->queue.pop_front();
  }
  return this->outstanding;
}

std::vector<SettledEntry> SettlementQueue::OnWritten(
    const BatchWritten& written, coordination::TimePoint now) {
  const auto contains = [](std::span<const std::uint64_t> sequences,
                           std::uint64_t sequence) {
    return std::find(sequences.begin(), sequences.end(), sequence) !=
           sequences.end();
  };
  std::vector<SettledEntry> done;
  std::vector<Settlement> retries;
  const bool all = written.status == TableStatus::kOk;
  for (Settlement& settlement : std::exchange(this->outstanding, {})) {
    const bool duplicate = contains(written.duplicates, settlement.sequence);
    const bool already_written =
        contains(written.already_written, settlement.sequence);
    if (all || duplicate || already_written) {
      done.push_back(SettledEntry{std::move(settlement), duplicate});
    } else {
      retries.push_back(std::move(settlement));
    }
  }
  // The rest are retried first, in their original order.
  this->queue.insert(this->queue.begin(),
                     std::make_move_iterator(retries.begin()),
                     std::make_move_iterator(retries.end()));
  if (done.empty()) this->retry_at = now + kRetryDelay;
  return done;
}

}  // namespace hornbeamspool::policy
