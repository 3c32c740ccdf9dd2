#include "policy/windowed_retry_budget.h"

namespace hornbeamspool::policy {
namespace {

constexpr std::int64_t kBucketsPerWindow = 10;

}  // namespace

WindowedRetryBudget::Bucket& WindowedRetryBudget::CurrentBucket(
    coordination::TimePoint now) {
  while (!this->buckets.empty() &&
         now - this->buckets.front().begin >= this->limits.window) {
    this->buckets.pop_front();
  }
  const coordination::Duration length = this->limits.window / kBucketsPerWindow;
  if (this->buckets.empty() || now - this->buckets.back().begin >= length) {
    this->buckets.push_back({now, 0, 0});
  }
  return this->buckets.back();
}

void WindowedRetryBudget::RecordRequest(coordination::TimePoint now) {
  ++this->CurrentBucket(now).requests;
}

bool WindowedRetryBudget::TryWithdraw(std::int64_t vm_count,
                                      coordination::TimePoint now) {
  Bucket& current = this->CurrentBucket(now);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket& bucket : this->buckets) {
    requests += bucket.requests;
    retries += bucket.retries;
  }
  double allowed =
      static_cast<double>(requests) * this->limits.ratio * kUsedRatioFraction;
  if (vm_count > 0) {
    allowed += this->limits.fleet_extra * kUsedExtraFraction /
               static_cast<double>(vm_count);
  }
  if (static_cast<double>(retries + 1) > allowed) return false;
  ++current.retries;
  return true;
}

}  // namespace hornbeamspool::policy
