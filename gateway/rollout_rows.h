// Rows of the rollouts' tables: the progress of each, and the VMs' reports.
#pragma once

#include <cereal/types/map.hpp>

#include "gateway/row_codec.h"
#include "platform/bounded_number.h"
#include "policy/version_rollout.h"

namespace hornbeamspool::policy {

// Throws when the number is no phase of this build.
template <typename Archive>
void SerializePhase(Archive& archive, RolloutPhase& phase) {
  archive(phase);
  if (phase >= RolloutPhase::kCount) {
    throw cereal::Exception("unknown rollout phase");
  }
}

// Times in milliseconds, and counts. Loading throws when one is out of range.
template <typename Archive, typename... Numbers>
void SerializeNumbers(Archive& archive, Numbers&... numbers) {
  archive(numbers...);
  const bool valid = (platform::IsInRange(numbers) && ...);
  if (Archive::is_loading::value && !valid) {
    throw cereal::Exception("number out of range");
  }
}

template <typename Archive>
void serialize(Archive& archive, RolloutProgress& progress) {
  archive(progress.order_revision, gateway::RowString{&progress.version});
  SerializePhase(archive, progress.phase);
  SerializeNumbers(archive, progress.began_ms, progress.deadline_ms,
                   progress.driver_lease_until_ms);
  archive(gateway::RowString{&progress.driver});
}

template <typename Archive>
void serialize(Archive& archive, TimeHistogram& histogram) {
  archive(histogram.counts);
}

template <typename Archive>
void serialize(Archive& archive, VersionStats& stats) {
  archive(stats.answers, stats.failures, stats.times, stats.paces,
          stats.unfinished);
}

template <typename Archive>
void serialize(Archive& archive, RouteStats& stats) {
  archive(stats.new_version, stats.old_version);
}

template <typename Archive>
void serialize(Archive& archive, RolloutReport& report) {
  archive(report.order_revision, report.incarnation);
  SerializePhase(archive, report.phase);
  SerializeNumbers(archive, report.reported_ms, report.old_in_flight,
                   report.sends, report.arrived_sends,
                   report.new_version_sends);
  archive(gateway::RowMap<std::map<std::int32_t, RouteStats>>{&report.routes});
}

}  // namespace hornbeamspool::policy
