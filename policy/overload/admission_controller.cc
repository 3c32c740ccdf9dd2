#include "policy/overload/admission_controller.h"

#include <algorithm>
#include <chrono>

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// Queueing delay at the VM's link from which requests are refused whatever the
// demand: a quarter of the target latency, at most 150 ms. By the place of a
// request in the yield order, half to one and a half times that.
constexpr std::int64_t kLinkDelayDivisor = 4;
constexpr Duration kMaxLinkDelay = std::chrono::milliseconds(150);

// Retry-After before jitter in the mode `off`.
constexpr Duration kLinkRetry = std::chrono::milliseconds(300);

// Retry-After of a refusal by the VM: other VMs may have room at once.
constexpr Duration kShortestVmRetry = std::chrono::milliseconds(100);
constexpr Duration kVmRetrySpan = std::chrono::milliseconds(700);

// Retry-After of a refusal by a service's capacity, and its span when all of
// the offered work has to yield.
constexpr Duration kShortestRetry = std::chrono::milliseconds(200);
constexpr Duration kMinRetrySpan = std::chrono::milliseconds(500);
constexpr Duration kMaxRetrySpan = std::chrono::milliseconds(3000);

// A request that has to yield waits for a free slot for at most this part of
// its target latency, in this number of steps.
constexpr std::int64_t kWaitDivisor = 2;
constexpr std::int64_t kWaitSteps = 4;
constexpr Duration kMinWaitStep = std::chrono::milliseconds(20);

// An organisation whose work yields this much more than the rest exceeds its
// share.
constexpr double kShareMargin = 0.05;

// What is expected of the link counts for readiness only: what exceeds it has
// been refused already, and must not raise the level at which work yields.
constexpr double kMaxExpected = 0.8;

// Services beyond this number share one state.
constexpr std::size_t kMaxServices = 64;

// The draws of the VM and of the service are independent.
constexpr std::uint64_t kVmSeed = 0xa11;
constexpr std::uint64_t kServiceSeed = 0xb22;

}  // namespace

AdmissionController::AdmissionController(OverloadMode mode,
                                         std::int64_t link_bytes_per_second,
                                         std::uint64_t salt)
    : mode(mode), salt(salt), link(link_bytes_per_second) {}

AdmissionController::ServiceState& AdmissionController::StateOf(
    std::string_view service) {
  const auto found = this->services.find(service);
  if (found != this->services.end()) return found->second;
  if (this->services.size() >= kMaxServices) service = "(other)";
  return this->services[std::string(service)];
}

AdmissionController::Verdict AdmissionController::Draw(
    const OverloadRequest& request, YieldOrder::Range range, FairShares& shares,
    double shed, std::uint64_t seed, TimePoint now) {
  if (shed <= 0) return {};
  const double own = shares.ShedFraction(request.organisation, shed, now);
  // Large requests yield first, so that more requests are served than work:
  // the bound, a quarter of the requests served, takes more than a quarter of
  // the work served.
  const double floor = std::min(0.27, 0.6 * (1 - shed));
  const double served = YieldOrder::ServedFraction(range, own, floor);
  seed ^= this->salt;
  if (request.id.empty()) seed += ++this->unnamed;
  if (UniformDraw(request.id, seed) < served) return {true, {}, shed};
  const bool over_share = own > shed + kShareMargin;
  return {false,
          over_share ? OverloadReason::kFairShare : OverloadReason::kPriority,
          shed};
}

AdmissionController::Verdict AdmissionController::JudgeVm(
    const OverloadRequest& request, YieldOrder::Range range,
    Duration link_delay, TimePoint now) {
  Duration max_delay =
      std::min(kMaxLinkDelay, request.target_latency / kLinkDelayDivisor);
  if (!this->Enabled()) {
    return {link_delay <= max_delay, OverloadReason::kLinkDelay, 0};
  }
  max_delay +=
      std::chrono::duration_cast<Duration>((range.begin - 0.5) * max_delay);
  if (link_delay > max_delay) return {false, OverloadReason::kVm, 1};
  const double shed = std::max(this->link.Shed(now), this->pressure.MinShed());
  Verdict verdict =
      this->Draw(request, range, this->link_shares, shed, kVmSeed, now);
  if (!verdict.serve && verdict.reason != OverloadReason::kFairShare) {
    verdict.reason = OverloadReason::kVm;
  }
  return verdict;
}

OverloadDecision AdmissionController::RefuseAtVm(const OverloadRequest& request,
                                                 const Verdict& verdict) {
  OverloadDecision decision;
  decision.kind = OverloadDecision::Kind::kRefuse;
  decision.reason = verdict.reason;
  decision.shed = verdict.shed;
  decision.retry_after =
      this->Enabled()
          ? SpreadRetryAfter(request, kShortestVmRetry, kVmRetrySpan)
          : AddJitter(kLinkRetry, request.id);
  this->counters.Add(request, decision);
  return decision;
}

OverloadDecision AdmissionController::DecideAtVm(const OverloadRequest& request,
                                                 Duration link_delay,
                                                 TimePoint now) {
  YieldOrder::Range range;
  if (this->Enabled()) {
    this->link.Offer(request.link_bytes, now);
    this->link_shares.Offer(request.organisation, request.link_bytes, now);
    range = this->link_order.Offer(request.priority, request.first_attempt,
                                   request.link_bytes, request.time_left, now);
  }
  const Verdict verdict = this->JudgeVm(request, range, link_delay, now);
  if (!verdict.serve) return this->RefuseAtVm(request, verdict);
  if (this->Enabled()) {
    this->link.OnAdmitted(request.link_bytes, now);
    this->link_shares.OnServed(request.organisation, request.link_bytes);
  }
  return {};
}

OverloadDecision AdmissionController::DecideAtHead(
    const OverloadRequest& request, Duration link_delay, TimePoint now) {
  if (!this->Enabled()) return {};
  const YieldOrder::Range range =
      this->link_order.Find(request.priority, request.first_attempt,
                            request.link_bytes, request.time_left);
  if (this->JudgeVm(request, range, link_delay, now).serve) return {};
  return this->DecideAtVm(request, link_delay, now);
}

OverloadDecision AdmissionController::Decide(
    const OverloadRequest& request, const std::optional<UpstreamForecast>& best,
    TimePoint now) {
  OverloadDecision decision;
  if (!this->Enabled()) return decision;
  ServiceState& state = this->StateOf(request.service);
  const bool has_slot = !best || best->has_slot;
  if (!request.offered_before) {
    const Duration target = std::max(Duration(1000), request.target_latency);
    state.shortage.Add(has_slot
                           ? 0
                           : std::chrono::duration<double>(best->first_event) /
                                 std::chrono::duration<double>(target),
                       now);
    state.shares.Offer(request.organisation, request.engine_work, now);
  }
  const YieldOrder::Range range =
      request.offered_before
          ? state.order.Find(request.priority, request.first_attempt,
                             request.engine_work, request.time_left)
          : state.order.Offer(request.priority, request.first_attempt,
                              request.engine_work, request.time_left, now);
  decision.shed = state.shortage.Shed();
  const Duration span =
      kMinRetrySpan + std::chrono::duration_cast<Duration>(
                          decision.shed * (kMaxRetrySpan - kMinRetrySpan));
  if (!has_slot && best->completion > request.time_left) {
    decision.kind = OverloadDecision::Kind::kRefuse;
    decision.reason = OverloadReason::kDeadline;
  } else if (!has_slot) {
    const Verdict verdict = this->Draw(request, range, state.shares,
                                       decision.shed, kServiceSeed, now);
    if (!verdict.serve) {
      decision.reason = verdict.reason;
      const Duration max_wait = request.target_latency / kWaitDivisor;
      const Duration step = std::max(kMinWaitStep, max_wait / kWaitSteps);
      const bool may_wait = request.waited + step <= max_wait &&
                            best->completion + step <= request.time_left;
      decision.kind = may_wait ? OverloadDecision::Kind::kWait
                               : OverloadDecision::Kind::kRefuse;
      // Waits of requests that came together end apart.
      decision.wait_until =
          now + step * 3 / 4 +
          std::chrono::duration_cast<Duration>(
              UniformDraw(request.id, kVmSeed ^ kServiceSeed) * step / 4);
    }
  }
  if (decision.kind == OverloadDecision::Kind::kAdmit) {
    state.shares.OnServed(request.organisation, request.engine_work);
  }
  if (decision.kind == OverloadDecision::Kind::kRefuse) {
    decision.retry_after = SpreadRetryAfter(request, kShortestRetry, span);
  }
  // A delayed request is counted once as delayed, and by how it ends.
  const bool waits_again =
      decision.kind == OverloadDecision::Kind::kWait && request.offered_before;
  if (!waits_again) this->counters.Add(request, decision);
  return decision;
}

void AdmissionController::UpdatePressure(PressureSample sample,
                                         std::int64_t link_bytes,
                                         TimePoint now) {
  this->link.OnMeasured(link_bytes, now);
  sample.link_utilisation =
      std::max(sample.link_utilisation,
               std::min(kMaxExpected, this->link.Utilisation(now)));
  this->pressure.Update(sample, now);
}

}  // namespace hornbeamspool::policy
