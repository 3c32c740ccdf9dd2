#include "policy/retry_allowance.h"

#include <algorithm>

namespace hornbeamspool::policy {
namespace {

constexpr std::int64_t kSlices = 10;

}  // namespace

RetryAllowance::Slice& RetryAllowance::Current(coordination::TimePoint now) {
  while (!this->slices.empty() &&
         now - this->slices.front().begin >= this->bounds.window) {
    this->slices.pop_front();
  }
  const coordination::Duration length = this->bounds.window / kSlices;
  if (this->slices.empty() || now - this->slices.back().begin >= length) {
    this->slices.push_back({now, 0, 0});
  }
  return this->slices.back();
}

void RetryAllowance::NoteRequest(coordination::TimePoint now) {
  ++this->Current(now).requests;
}

bool RetryAllowance::Take(std::int64_t sharers, coordination::TimePoint now) {
  Slice& current = this->Current(now);
  std::int64_t requests = 0;
  std::int64_t repeats = 0;
  for (const Slice& slice : this->slices) {
    requests += slice.requests;
    repeats += slice.repeats;
  }
  double allowed =
      static_cast<double>(requests) * this->bounds.share * kUsedPart;
  if (sharers > 0) {
    allowed += this->bounds.extra * kUsedExtra / static_cast<double>(sharers);
  }
  if (static_cast<double>(repeats + 1) > allowed) return false;
  ++current.repeats;
  return true;
}

}  // namespace hornbeamspool::policy
