#include "policy/balancing/instance_speed.h"

#include <chrono>

#include "policy/balancing/service_rates.h"

namespace hornbeamspool::policy {
namespace {

using coordination::Duration;
using coordination::TimePoint;

// How long computed rates are used; they change over seconds.
constexpr Duration kCacheTime = std::chrono::milliseconds(100);

}  // namespace

void InstanceSpeed::OnPrefill(double ms, double min_tokens, double max_tokens,
                              ServiceRates& service, TimePoint now) {
  const double usual_ms = ms / this->slowness.Expected(now);
  service.OnPrefill(usual_ms / max_tokens);
  const double rate = this->Compute(service, now).prefill_ms_per_token;
  const bool explained =
      usual_ms >= rate * min_tokens && usual_ms <= rate * max_tokens;
  // Any number of cached tokens would explain it, so that it says nothing.
  if (explained && min_tokens < max_tokens) return;
  const double tokens = usual_ms > rate * max_tokens ? max_tokens : min_tokens;
  this->prefill.OnObserved(usual_ms / tokens, service.PrefillMsPerToken(), now);
  this->cached_until = {};
}

void InstanceSpeed::OnEvents(double ms, ServiceRates& service, TimePoint now) {
  // A stream lasts longer than the slowness stays the same.
  const double usual_ms = ms / this->slowness.Mean();
  service.OnEvent(usual_ms);
  this->event.OnObserved(usual_ms, service.EventMs(), now);
  this->cached_until = {};
}

void InstanceSpeed::OnRequest(double ms, ServiceRates& service, TimePoint now) {
  const double usual_ms = ms / this->slowness.Expected(now);
  service.OnRequest(usual_ms);
  this->request.OnObserved(usual_ms, service.RequestMs(), now);
  this->cached_until = {};
}

void InstanceSpeed::OnPeerReport(const Report& report, ServiceRates& service,
                                 TimePoint now) {
  if (report.prefill.weight > 0) {
    service.OnPeerPrefill(report.prefill.ms);
    this->prefill.OnReported(report.prefill, service.PrefillMsPerToken(), now);
  }
  if (report.event.weight > 0) {
    service.OnPeerEvent(report.event.ms);
    this->event.OnReported(report.event, service.EventMs(), now);
  }
  if (report.request.weight > 0) {
    service.OnPeerRequest(report.request.ms);
    this->request.OnReported(report.request, service.RequestMs(), now);
  }
  this->cached_until = {};
}

InstanceRates InstanceSpeed::Rates(const ServiceRates& service,
                                   TimePoint now) const {
  if (now >= this->cached_until) {
    this->cached = this->Compute(service, now);
    this->cached_until = now + kCacheTime;
  }
  return this->cached;
}

InstanceRates InstanceSpeed::Compute(const ServiceRates& service,
                                     TimePoint now) const {
  InstanceRates rates;
  double ratio = 1;
  if (service.EventMs() > 0) {
    rates.event_ms = this->event.Value(service.EventMs(), now);
    ratio = rates.event_ms / service.EventMs();
  }
  if (service.RequestMs() > 0) {
    rates.request_ms = this->request.Value(service.RequestMs(), now);
  }
  // Events are observed far more often than long prompts, and a machine that is
  // slow at one is slow at both.
  rates.prefill_ms_per_token =
      this->prefill.Value(service.PrefillMsPerToken() * ratio, now);
  return rates;
}

InstanceSpeed::Report InstanceSpeed::OwnReport(TimePoint now) const {
  return {this->prefill.Own(now), this->event.Own(now), this->request.Own(now)};
}

}  // namespace hornbeamspool::policy
