#include "gateway/warmup_sync.h"

#include <array>
#include <cstdio>
#include <string>

#include "gateway/event_log.h"
#include "gateway/permit_broker.h"
#include "hornbeamspool/metrics.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using coordination::Milliseconds;
using coordination::TimePoint;
using policy::ColdUpstreams;
using policy::KeyValue;

std::string Decimal(double value) {
  std::array<char, 32> text{};
  const int length = std::snprintf(text.data(), text.size(), "%.3g", value);
  return {text.data(), static_cast<std::size_t>(length)};
}

// The id of an upstream ends before the start time in the instance's.
std::string_view UpstreamOf(std::string_view instance) {
  return instance.substr(0, instance.rfind('@'));
}

}  // namespace

void WarmupSync::OnRegistered(std::span<const policy::UpstreamEntry> entries,
                              TimePoint now) {
  for (const policy::UpstreamEntry& entry : entries) {
    if (!this->context.core->Cold().OnRegistered(entry, now)) continue;
    this->OnCold(entry.InstanceId(), "registry", false, now);
  }
}

void WarmupSync::OnMessage(const policy::RateMessage& message, TimePoint now) {
  const auto instance = ColdUpstreams::InstanceOf(message.instance);
  if (!instance) return;
  policy::GatewayCore& core = *this->context.core;
  const policy::UpstreamEntry* entry =
      core.Upstreams().Find(UpstreamOf(*instance));
  const bool known = entry != nullptr && entry->InstanceId() == *instance;
  std::string_view service;
  if (known) service = entry->service;
  const bool news = core.Cold().OnPeerReport(message.instance, service, now);
  if (news) this->OnCold(*instance, message.sender, true, now);
}

void WarmupSync::OnCold(std::string_view instance, std::string_view source,
                        bool from_peer, TimePoint now) {
  const std::string key = ColdUpstreams::PermitKey(instance);
  policy::GatewayCore& core = *this->context.core;
  std::string fields = KeyValue("upstream", UpstreamOf(instance));
  fields += ' ' + KeyValue("instance", instance);
  fields += ' ' + KeyValue("source", source);
  fields += ' ' + KeyValue("state", "cold");
  fields += ' ' + KeyValue("cold_ms",
                           Milliseconds(core.Cold().ColdUntil(instance) - now));
  if (const auto* limit = core.Limits().Find(key)) {
    fields += ' ' + KeyValue("per_second", Decimal(limit->rate.per_second));
  }
  this->context.log->Write(LogKind::kUpstream, fields, now);
  this->context.permits->AnnounceByIssuers(key, from_peer, now);
}

void WarmupSync::Expire(TimePoint now) {
  ColdUpstreams& cold = this->context.core->Cold();
  for (const std::string& instance : cold.Expire(now)) {
    this->context.log->Write(LogKind::kUpstream,
                             KeyValue("upstream", UpstreamOf(instance)) + ' ' +
                                 KeyValue("instance", instance) + ' ' +
                                 KeyValue("state", "warm"),
                             now);
  }
  const ColdUpstreams::Counts counts = cold.TakeCounts();
  this->context.metrics->Add(Counter::kColdRedirects, counts.redirected);
  this->context.metrics->Add(Counter::kColdRefusals, counts.refused);
}

}  // namespace hornbeamspool::gateway
