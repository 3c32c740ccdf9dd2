#include "gateway/load_monitor.h"

#include <string_view>

#include "gateway/event_log.h"
#include "http/server.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {
namespace {

using policy::KeyValue;

// File descriptors for files, the store and the load balancer.
constexpr std::int64_t kOtherDescriptors = 200;

}  // namespace

void LoadMonitor::Update(coordination::Duration lateness,
                         coordination::TimePoint now) {
  policy::GatewayCore& core = *this->context.core;
  this->lag.Add(lateness);
  policy::PressureSample sample;
  sample.link_delay = core.Link().QueueDelay(now);
  sample.link_utilisation = core.Link().UtilisationAt(now);
  sample.lateness = this->lag.Average();
  // A request may need a connection to an upstream besides the caller's.
  sample.descriptors_used =
      kOtherDescriptors +
      2 * static_cast<std::int64_t>(this->callers->OpenConnections());
  sample.descriptors_max = this->max_descriptors;
  policy::AdmissionController& overload = core.Overload();
  overload.UpdatePressure(sample, core.Link().TakeCarriedBytes(), now);

  const bool isolated = core.Reachability().IsIsolated(now);
  bool short_of_resources = false;
  std::string_view cause = "link";
  if (overload.Enabled()) {
    short_of_resources = !overload.Pressure().IsReady();
    cause = overload.Pressure().Cause();
  } else {
    const bool link = core.Link().IsCongested(now);
    short_of_resources = link || this->lag.IsOverloaded();
    if (!link) cause = "processor";
  }
  const bool overloaded = short_of_resources || isolated;
  if (overloaded == this->overloaded || this->stopping) return;
  this->overloaded = overloaded;
  this->callers->DisableKeepAlive(overloaded);
  if (!short_of_resources && isolated) cause = "upstreams";
  this->context.log->Write(
      LogKind::kDependency,
      KeyValue("load", overloaded ? "crowded" : "calm") + ' ' +
          KeyValue("by", cause) + ' ' +
          KeyValue("late_us", static_cast<std::int64_t>(lateness.count())),
      now);
}

}  // namespace hornbeamspool::gateway
