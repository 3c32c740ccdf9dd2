#include "policy/time_histogram.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hornbeamspool::policy {

std::int32_t TimeHistogram::BucketOf(coordination::Duration time) {
  const double ms = std::chrono::duration<double, std::milli>(time).count();
  return static_cast<std::int32_t>(kBucketsPerOctave *
                                   std::log2(std::max(1.0, ms)));
}

void TimeHistogram::Add(const TimeHistogram& other) {
  for (const auto& [bucket, count] : other.counts) {
    this->counts[bucket] += count;
  }
}

std::int64_t TimeHistogram::Total() const {
  std::int64_t total = 0;
  for (const auto& [bucket, count] : this->counts) total += count;
  return total;
}

std::int64_t TimeHistogram::CountFrom(std::int32_t bucket) const {
  std::int64_t total = 0;
  for (auto it = this->counts.lower_bound(bucket); it != this->counts.end();
       ++it) {
    total += it->second;
  }
  return total;
}

std::int32_t TimeHistogram::UpperBucket(double fraction) const {
  const auto max_above =
      static_cast<std::int64_t>(fraction * static_cast<double>(this->Total()));
  std::int64_t above = 0;
  for (auto it = this->counts.rbegin(); it != this->counts.rend(); ++it) {
    above += it->second;
    if (above > max_above) return it->first + 1;
  }
  return 0;
}

std::int32_t TimeHistogram::MeanBucket() const {
  const std::int64_t total = this->Total();
  if (total == 0) return 0;
  double sum = 0;
  for (const auto& [bucket, count] : this->counts) {
    sum += (bucket + 0.5) * static_cast<double>(count);
  }
  return static_cast<std::int32_t>(sum / static_cast<double>(total));
}

coordination::Duration TimeHistogram::GeometricMean() const {
  const std::chrono::duration<double, std::milli> ms(
      std::exp2(static_cast<double>(this->MeanBucket()) / kBucketsPerOctave));
  return std::chrono::duration_cast<coordination::Duration>(ms);
}

}  // namespace hornbeamspool::policy
