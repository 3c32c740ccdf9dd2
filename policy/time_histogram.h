// A sparse histogram of durations, with buckets that grow by a constant factor.
#pragma once

#include <cstdint>
#include <map>

#include "coordination/time.h"

namespace hornbeamspool::policy {

struct TimeHistogram {
  // Buckets in each doubling of the time. Bucket b begins at 2^(b / 4) ms;
  // shorter times are in bucket 0.
  static constexpr std::int32_t kBucketsPerOctave = 4;

  std::map<std::int32_t, std::int64_t> counts;  // by bucket

  static std::int32_t BucketOf(coordination::Duration time);

  void Add(coordination::Duration time) { ++this->counts[BucketOf(time)]; }
  void Add(const TimeHistogram& other);

  std::int64_t Total() const;
  // Number of times in `bucket` and above.
  std::int64_t CountFrom(std::int32_t bucket) const;
  // The lowest bucket from which on there is at most this fraction of all
  // times.
  std::int32_t UpperBucket(double fraction) const;
  // The bucket of the geometric mean; 0 without times.
  std::int32_t MeanBucket() const;
  // The geometric mean, rounded down to the begin of its bucket.
  coordination::Duration GeometricMean() const;
};

}  // namespace hornbeamspool::policy
