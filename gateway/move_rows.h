// Rows of the tables of moves: their progress, and what each VM reports.
#pragma once

#include <cereal/types/map.hpp>

#include "gateway/row_codec.h"
#include "policy/version_move.h"

namespace hornbeamspool::policy {

// Throws when the phase is none that this build knows.
template <typename Archive>
void SerializePhase(Archive& archive, MovePhase& phase) {
  archive(phase);
  if (phase >= MovePhase::kCount) {
    throw cereal::Exception("a phase that is not known");
  }
}

template <typename Archive>
void serialize(Archive& archive, MoveProgress& progress) {
  archive(progress.order_revision, gateway::RowString{&progress.version});
  SerializePhase(archive, progress.phase);
  archive(progress.began_ms, progress.deadline_ms, progress.driver_until_ms,
          gateway::RowString{&progress.driver});
}

template <typename Archive>
void serialize(Archive& archive, VersionCounts& counts) {
  archive(counts.answers, counts.bad, counts.timed, counts.log_ms);
}

template <typename Archive>
void serialize(Archive& archive, RouteEvidence& evidence) {
  archive(evidence.moved, evidence.kept);
}

template <typename Archive>
void serialize(Archive& archive, MoveReport& report) {
  archive(report.order_revision, report.incarnation);
  SerializePhase(archive, report.phase);
  archive(report.kept_in_flight, gateway::RowMap<RouteEvidence>{&report.routes},
          report.moved_by_step);
}

}  // namespace hornbeamspool::policy
