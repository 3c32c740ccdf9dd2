#include "policy/balancing/send_cost.h"

#include <algorithm>

#include "policy/balancing/service_rates.h"

namespace hornbeamspool::policy {
namespace {

// Weight of the repeated prefill of a shared part that another engine may have
// in its cache. It costs engine capacity besides this request's own delay.
constexpr double kRepeatedPrefillWeight = 4;
// Each running request slows down token generation of the others.
constexpr double kRunningMs = 2;
// A request queued at the upstream.
constexpr double kWaitingMs = 15;
// Cost to a running stream when a prefill stalls it for its target pause. Grows
// with the square of the stall.
constexpr double kStallMs = 60;
// Stalls count up to this multiple of the target pause.
constexpr double kMaxStallRatio = 1.5;
// An upstream in another availability zone: a small delay, and traffic between
// zones is billed.
constexpr double kOtherZoneMs = 3;
// An upstream whose sends all fail.
constexpr double kFailureMs = 1000;
// An upstream without a free slot or without room in its KV cache.
constexpr double kFullMs = 500;
// Weight of the time by which the events of an answer take longer than usual.
// Callers wait for the first event; later ones keep a slot in use.
constexpr double kDecodeWeight = 0.05;

// Smaller differences in the time of a plain request, and smaller parts of the
// usual time, are noise. They must not outweigh the random choice among equal
// upstreams: a new instance without observations would get hardly any request.
constexpr double kMinRequestDifferenceMs = 2;
constexpr double kMinRequestDifference = 0.25;

// By how much a plain request takes longer than usual, without the noise.
double RequestDifferenceMs(double request_ms, double usual_ms) {
  const double noise =
      std::max(kMinRequestDifferenceMs, kMinRequestDifference * usual_ms);
  const double difference = request_ms - usual_ms;
  return difference > 0 ? std::max(0.0, difference - noise)
                        : std::min(0.0, difference + noise);
}

// Cost to one running stream of a prefill that delays its next event.
double StallCost(double prefill_ms, double target_ms) {
  const double ratio = std::min(kMaxStallRatio, prefill_ms / target_ms);
  return kStallMs * ratio * ratio;
}

}  // namespace

double SendCost(const UpstreamView& upstream, const SendDemand& demand,
                const ServiceRates& service) {
  const double running = upstream.load.running;
  const double waiting = upstream.load.waiting;
  const double usual_ms =
      demand.is_model_request ? service.EventMs() : service.RequestMs();
  const double unit_ms =
      demand.is_model_request
          ? upstream.rates.event_ms
          : usual_ms + RequestDifferenceMs(upstream.rates.request_ms, usual_ms);
  const double ratio = usual_ms > 0 ? unit_ms / usual_ms : 1;
  double cost = (running * kRunningMs + waiting * kWaitingMs) * ratio +
                upstream.failure_rate * kFailureMs;
  if (upstream.other_zone) cost += kOtherZoneMs;
  if (running >= upstream.slots) {
    cost +=
        kFullMs * (1 + (running - upstream.slots + waiting) / upstream.slots);
  }
  if (!demand.is_model_request) return cost + unit_ms - usual_ms;
  const double rate = upstream.rates.prefill_ms_per_token;
  const double own_ms = (demand.own_tokens + demand.shared_tokens) * rate;
  cost += upstream.backlog_ms + own_ms;
  cost += demand.shared_tokens * rate * kRepeatedPrefillWeight;
  cost += demand.events * (unit_ms - usual_ms) * kDecodeWeight;
  const double backlog_peak_ms = upstream.backlog_ms * upstream.peak_factor;
  const double own_peak_ms = own_ms * upstream.peak_factor;
  cost += running *
          (StallCost(backlog_peak_ms + own_peak_ms, demand.target_pause_ms) -
           StallCost(backlog_peak_ms, demand.target_pause_ms));
  if (upstream.kv_cache_full) cost += kFullMs;
  return cost;
}

}  // namespace hornbeamspool::policy
