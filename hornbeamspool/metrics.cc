#include "hornbeamspool/metrics.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <atomic>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

namespace hornbeamspool {
namespace {

namespace bh = boost::histogram;

constexpr auto kCounters = static_cast<std::size_t>(Counter::kCount);
constexpr auto kTimings = static_cast<std::size_t>(Timing::kCount);

constexpr std::array<std::string_view, kCounters> kCounterNames{
    "requests",
    "refusals",
    "tokens_forwarded",
    "tokens_billed",
    "bills",
    "duplicate_bills",
    "retries",
    "table_calls",
    "table_failures",
    "heartbeats_sent",
    "heartbeat_bytes_sent",
    "heartbeats_received",
    "heartbeats_dropped",
    "events_dropped",
    "served",
    "sends_failed",
    "answers_broken",
    "budget_refusals",
    "store_calls",
    "store_failures",
    "tokens_given",
    "tokens_received",
    "tokens_stranded",
    "crashes_seen",
    "crashes_told",
    "suspect_refusals"};
constexpr std::array<std::string_view, kTimings> kTimingNames{
    "first_token_seconds", "token_gap_seconds", "whole_answer_seconds",
    "admission_seconds", "table_call_seconds"};

// Histogram bounds in seconds.
constexpr double kLeastSeconds = 1e-4;
constexpr double kMostSeconds = 100;
constexpr unsigned kBins = 48;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<Cell>>;

Histogram MakeHistogram() {
  return bh::make_histogram_with(bh::dense_storage<Cell>(),
                                 Axis(kBins, kLeastSeconds, kMostSeconds));
}

}  // namespace

struct Metrics::Cells {
  std::array<std::atomic<std::int64_t>, kCounters> counters{};
  std::vector<Histogram> histograms;
  std::array<std::atomic<std::int64_t>, kTimings> sums_us{};
};

Metrics::Metrics() : cells(std::make_unique<Cells>()) {
  for (std::size_t i = 0; i < kTimings; ++i) {
    this->cells->histograms.push_back(MakeHistogram());
  }
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter counter, std::int64_t amount) {
  this->cells->counters.at(static_cast<std::size_t>(counter))
      .fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::Observe(Timing timing, coordination::Duration duration) {
  const auto index = static_cast<std::size_t>(timing);
  this->cells->histograms.at(index)(
      std::chrono::duration<double>(duration).count());
  this->cells->sums_us.at(index).fetch_add(duration.count(),
                                           std::memory_order_relaxed);
}

std::string Metrics::Text() const {
  std::vector<prometheus::MetricFamily> families;
  for (std::size_t i = 0; i < kCounters; ++i) {
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(this->cells->counters.at(i));
    std::string name = "hornbeamspool_";
    name += kCounterNames.at(i);
    name += "_total";
    families.push_back({name, "", prometheus::MetricType::Counter, {metric}});
  }
  for (std::size_t i = 0; i < kTimings; ++i) {
    const Histogram& histogram = this->cells->histograms.at(i);
    prometheus::ClientMetric metric;
    std::uint64_t below = histogram.at(-1).value();
    for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
      below += histogram.at(bin).value();
      metric.histogram.bucket.push_back(
          {below, histogram.axis().bin(bin).upper()});
    }
    below += histogram.at(static_cast<int>(kBins)).value();
    metric.histogram.bucket.push_back(
        {below, std::numeric_limits<double>::infinity()});
    metric.histogram.sample_count = below;
    constexpr double kMicrosecondsPerSecond = 1e6;
    metric.histogram.sample_sum =
        static_cast<double>(this->cells->sums_us.at(i)) /
        kMicrosecondsPerSecond;
    std::string name = "hornbeamspool_";
    name += kTimingNames.at(i);
    families.push_back({name, "", prometheus::MetricType::Histogram, {metric}});
  }
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hornbeamspool
