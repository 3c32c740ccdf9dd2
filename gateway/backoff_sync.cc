#include "gateway/backoff_sync.h"

#include <string>

#include "gateway/event_log.h"
#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "policy/announced_backoff.h"
#include "policy/event.h"
#include "policy/gateway_core.h"

namespace hornbeamspool::gateway {

using coordination::Milliseconds;
using policy::KeyValue;

void BackoffSync::OnAnswer(const policy::UpstreamEntry& upstream,
                           std::string_view vm,
                           const policy::AnnouncedBackoff& announced,
                           coordination::TimePoint sent_at,
                           coordination::TimePoint now) {
  policy::UpstreamBackoff& backoff = this->context.core->Backoff();
  if (!announced.Any() && backoff.Empty()) return;
  const std::string instance = upstream.InstanceId();
  if (announced.pause == coordination::Duration(0)) {
    backoff.OnAnswer(instance, sent_at);
  }
  if (!announced.Any()) return;
  const std::string fields = KeyValue("upstream", upstream.id) + ' ' +
                             KeyValue("instance", instance) + ' ' +
                             KeyValue("source", "answer") + ' ';
  const bool leaves =
      announced.leaving &&
      backoff.OnLeaving(instance, upstream.start_time_ms != 0, now);
  if (leaves) {
    this->context.client->CloseIdle(upstream.address);
    this->context.metrics->Add(Counter::kUpstreamsLeaving);
    this->context.log->Write(LogKind::kUpstream,
                             fields + KeyValue("state", "leaving"), now);
  }
  const bool pauses = announced.pause > coordination::Duration(0) &&
                      backoff.OnPause(vm, instance, announced.pause, now);
  if (pauses) {
    this->context.metrics->Add(Counter::kPauses);
    this->context.log->Write(
        LogKind::kUpstream,
        fields + KeyValue("state", "paused") + ' ' + KeyValue("for", vm) + ' ' +
            KeyValue("pause_ms", Milliseconds(announced.pause)),
        now);
  }
  if (announced.malformed) {
    this->context.log->Write(LogKind::kUpstream,
                             fields + KeyValue("state", "malformed_backoff"),
                             now);
  }
}

}  // namespace hornbeamspool::gateway
