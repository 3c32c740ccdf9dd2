// The expected load of one upstream instance: the newest report, from an answer
// to this VM or from a peer, and what this VM has sent since. An older report
// moves towards the mean of the service's upstreams, because other VMs have
// read it too and have sent there since.
#pragma once

#include <cstdint>
#include <optional>

#include "coordination/time.h"
#include "policy/balancing/upstream_load.h"

namespace hornbeamspool::policy {

struct ExpectedLoad {
  double running = 0;  // requests
  double waiting = 0;  // queued requests
};

class LoadEstimate {
 public:
  // `taken_at`: when the upstream reported it. Returns false, and ignores the
  // report, when a newer one is known.
  bool OnReport(const UpstreamLoad& load, coordination::TimePoint taken_at);
  void OnSent() { ++this->sent_since; }

  // `mean_running` is the mean over the service's upstreams.
  ExpectedLoad Expected(double mean_running, coordination::TimePoint now) const;
  // Empty before the first report.
  const std::optional<UpstreamLoad>& Last() const { return this->last; }
  coordination::TimePoint LastAt() const { return this->last_at; }
  // Sends of this VM since the last report.
  std::int64_t SentSince() const { return this->sent_since; }

 private:
  std::optional<UpstreamLoad> last;
  coordination::TimePoint last_at{};
  std::int64_t sent_since = 0;
};

}  // namespace hornbeamspool::policy
