// Rows of the table `crashes`: the crash records of one VM.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/row_codec.h"

namespace hornbeamspool::gateway {

// A policy::CrashRecord as the store keeps it.
struct CrashRowRecord {
  std::string instance_id;  // of the upstream that crashed
  std::vector<std::uint64_t> fingerprints;
  std::int64_t announced_ms = 0;  // by the store's clock

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(RowString{&this->instance_id},
            RowVector<std::uint64_t>{&this->fingerprints}, this->announced_ms);
  }
};

struct CrashRow {
  std::vector<CrashRowRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(RowVector<CrashRowRecord>{&this->records});
  }
};

}  // namespace hornbeamspool::gateway
