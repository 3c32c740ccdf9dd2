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
#include <mutex>
#include <tuple>
#include <utility>
#include <vector>

#include "http/server.h"

namespace hornbeamspool {
namespace {

namespace bh = boost::histogram;
using policy::RateLimits;

constexpr auto kCounters = static_cast<std::size_t>(Counter::kCount);
constexpr auto kRejections =
    static_cast<std::size_t>(http::RejectReason::kCount);
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
    "permits_granted",
    "permits_refused",
    "permit_timeouts",
    "rate_limit_refusals",
    "suspect_refusals",
    "parts_named",
    "parts_cleared",
    "part_refusals",
    "upstreams_leaving",
    "pauses",
    "stale_answers",
    "sends_withheld",
    "backoff_refusals",
    "cold_redirects",
    "cold_refusals",
    "speed_reports",
    "speed_notices",
    "speed_reports_sent",
    "faults"};
constexpr std::array<std::string_view, kTimings> kTimingNames{
    "first_token_seconds", "token_gap_seconds", "whole_answer_seconds",
    "admission_seconds", "table_call_seconds"};

// Bounds of the logarithmic histogram bins, in seconds.
constexpr double kMinSeconds = 1e-4;
constexpr double kMaxSeconds = 100;
constexpr unsigned kBins = 48;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::count<std::uint64_t, true>;
using Histogram = bh::histogram<std::tuple<Axis>, bh::dense_storage<Cell>>;

Histogram MakeHistogram() {
  return bh::make_histogram_with(bh::dense_storage<Cell>(),
                                 Axis(kBins, kMinSeconds, kMaxSeconds));
}

prometheus::MetricFamily GaugeFamily(std::string name, std::size_t value) {
  prometheus::ClientMetric metric;
  metric.gauge.value = static_cast<double>(value);
  return {std::move(name), "", prometheus::MetricType::Gauge, {metric}};
}

prometheus::MetricFamily RateLimitFamily(
    std::string name, double RateLimits::Stats::*value,
    const std::vector<RateLimits::Stats>& limits) {
  prometheus::MetricFamily family{
      std::move(name), "", prometheus::MetricType::Gauge, {}};
  for (const RateLimits::Stats& limit : limits) {
    prometheus::ClientMetric metric;
    metric.label.push_back({"upstream", limit.instance});
    metric.gauge.value = limit.*value;
    family.metric.push_back(std::move(metric));
  }
  return family;
}

// One gauge for each upstream whose value is known.
template <typename Value>
prometheus::MetricFamily SpeedFamily(
    std::string name, const std::vector<policy::SpeedStats>& speeds,
    const Value& value) {
  prometheus::MetricFamily family{
      std::move(name), "", prometheus::MetricType::Gauge, {}};
  for (const policy::SpeedStats& speed : speeds) {
    prometheus::ClientMetric metric;
    metric.label.push_back({"upstream", speed.upstream});
    metric.gauge.value = value(speed);
    if (metric.gauge.value > 0) family.metric.push_back(std::move(metric));
  }
  return family;
}

void AddDecision(prometheus::MetricFamily& family, std::string_view label,
                 const std::string& name, std::string decision,
                 std::int64_t count) {
  if (count == 0) return;
  prometheus::ClientMetric metric;
  metric.label.push_back({std::string(label), name});
  metric.label.push_back({"decision", std::move(decision)});
  metric.counter.value = static_cast<double>(count);
  family.metric.push_back(std::move(metric));
}

prometheus::MetricFamily DecisionFamily(
    std::string name, std::string_view label,
    const policy::OverloadCounters::ByName& counts) {
  prometheus::MetricFamily family{
      std::move(name), "", prometheus::MetricType::Counter, {}};
  for (const auto& [value, decisions] : counts) {
    AddDecision(family, label, value, "admitted", decisions.admitted);
    AddDecision(family, label, value, "delayed", decisions.delayed);
    for (std::size_t i = 0; i < decisions.refused.size(); ++i) {
      std::string decision = "refused_";
      decision += OverloadReasonName(static_cast<policy::OverloadReason>(i));
      AddDecision(family, label, value, std::move(decision),
                  decisions.refused.at(i));
    }
  }
  return family;
}

}  // namespace

struct Metrics::Storage {
  std::array<std::atomic<std::int64_t>, kCounters> counters{};
  std::array<std::atomic<std::int64_t>, kRejections> rejections{};
  std::vector<Histogram> histograms;
  std::array<std::atomic<std::int64_t>, kTimings> sums_us{};
  std::atomic<std::size_t> parts_suspected = 0;
  std::atomic<std::size_t> parts_named = 0;
  std::mutex rate_limits_mutex;
  std::vector<RateLimits::Stats> rate_limits;
  std::mutex speeds_mutex;
  std::vector<policy::SpeedStats> speeds;
  std::mutex overload_mutex;
  policy::OverloadCounters overload;
};

Metrics::Metrics() : storage(std::make_unique<Storage>()) {
  for (std::size_t i = 0; i < kTimings; ++i) {
    this->storage->histograms.push_back(MakeHistogram());
  }
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter counter, std::int64_t amount) {
  this->storage->counters.at(static_cast<std::size_t>(counter))
      .fetch_add(amount, std::memory_order_relaxed);
}

void Metrics::AddRejection(http::RejectReason reason) {
  this->storage->rejections.at(static_cast<std::size_t>(reason))
      .fetch_add(1, std::memory_order_relaxed);
}

void Metrics::Observe(Timing timing, coordination::Duration duration) {
  const auto index = static_cast<std::size_t>(timing);
  this->storage->histograms.at(index)(
      std::chrono::duration<double>(duration).count());
  this->storage->sums_us.at(index).fetch_add(duration.count(),
                                             std::memory_order_relaxed);
}

void Metrics::SetPoisonParts(std::size_t suspected, std::size_t named) {
  this->storage->parts_suspected = suspected;
  this->storage->parts_named = named;
}

void Metrics::SetRateLimits(std::vector<RateLimits::Stats> limits) {
  const std::lock_guard lock(this->storage->rate_limits_mutex);
  this->storage->rate_limits = std::move(limits);
}

void Metrics::SetUpstreamSpeeds(std::vector<policy::SpeedStats> speeds) {
  const std::lock_guard lock(this->storage->speeds_mutex);
  this->storage->speeds = std::move(speeds);
}

void Metrics::SetOverload(const policy::OverloadCounters& counters) {
  const std::lock_guard lock(this->storage->overload_mutex);
  this->storage->overload = counters;
}

std::string Metrics::Text() const {
  std::vector<prometheus::MetricFamily> families;
  for (std::size_t i = 0; i < kCounters; ++i) {
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(this->storage->counters.at(i));
    std::string name = "hornbeamspool_";
    name += kCounterNames.at(i);
    name += "_total";
    families.push_back({name, "", prometheus::MetricType::Counter, {metric}});
  }
  for (std::size_t i = 0; i < kRejections; ++i) {
    prometheus::ClientMetric metric;
    metric.counter.value = static_cast<double>(this->storage->rejections.at(i));
    std::string name = "hornbeamspool_clients_";
    name += http::NameOf(static_cast<http::RejectReason>(i));
    name += "_total";
    families.push_back({name, "", prometheus::MetricType::Counter, {metric}});
  }
  for (std::size_t i = 0; i < kTimings; ++i) {
    const Histogram& histogram = this->storage->histograms.at(i);
    prometheus::ClientMetric metric;
    std::uint64_t cumulative_count = histogram.at(-1).value();
    for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
      cumulative_count += histogram.at(bin).value();
      metric.histogram.bucket.push_back(
          {cumulative_count, histogram.axis().bin(bin).upper()});
    }
    cumulative_count += histogram.at(static_cast<int>(kBins)).value();
    metric.histogram.bucket.push_back(
        {cumulative_count, std::numeric_limits<double>::infinity()});
    metric.histogram.sample_count = cumulative_count;
    constexpr double kMicrosecondsPerSecond = 1e6;
    metric.histogram.sample_sum =
        static_cast<double>(this->storage->sums_us.at(i)) /
        kMicrosecondsPerSecond;
    std::string name = "hornbeamspool_";
    name += kTimingNames.at(i);
    families.push_back({name, "", prometheus::MetricType::Histogram, {metric}});
  }
  families.push_back(GaugeFamily("hornbeamspool_prompt_parts_suspected",
                                 this->storage->parts_suspected));
  families.push_back(GaugeFamily("hornbeamspool_prompt_parts_named",
                                 this->storage->parts_named));
  {
    const std::lock_guard lock(this->storage->overload_mutex);
    families.push_back(DecisionFamily("hornbeamspool_route_decisions_total",
                                      "route",
                                      this->storage->overload.ByRoute()));
    families.push_back(DecisionFamily(
        "hornbeamspool_organisation_decisions_total", "organisation",
        this->storage->overload.ByOrganisation()));
  }
  const std::lock_guard lock(this->storage->rate_limits_mutex);
  families.push_back(RateLimitFamily("hornbeamspool_upstream_limit_per_second",
                                     &RateLimits::Stats::per_second,
                                     this->storage->rate_limits));
  families.push_back(RateLimitFamily("hornbeamspool_upstream_sent_per_second",
                                     &RateLimits::Stats::sent,
                                     this->storage->rate_limits));
  families.push_back(RateLimitFamily("hornbeamspool_upstream_share_per_second",
                                     &RateLimits::Stats::issued,
                                     this->storage->rate_limits));
  const std::lock_guard speeds_lock(this->storage->speeds_mutex);
  const auto& speeds = this->storage->speeds;
  families.push_back(SpeedFamily(
      "hornbeamspool_upstream_prefill_ms_per_token", speeds,
      [](const auto& speed) { return speed.rates.prefill_ms_per_token; }));
  families.push_back(
      SpeedFamily("hornbeamspool_upstream_event_ms", speeds,
                  [](const auto& speed) { return speed.rates.event_ms; }));
  families.push_back(
      SpeedFamily("hornbeamspool_upstream_request_ms", speeds,
                  [](const auto& speed) { return speed.rates.request_ms; }));
  families.push_back(
      SpeedFamily("hornbeamspool_upstream_slowness", speeds,
                  [](const auto& speed) { return speed.slowness; }));
  return prometheus::TextSerializer().Serialize(families);
}

}  // namespace hornbeamspool
