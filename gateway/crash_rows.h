// Rows of the table of crashes: what one VM has told of them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/row_codec.h"

namespace hornbeamspool::gateway {

// One record as the store keeps it.
struct CrashRowRecord {
  std::string start;  // of the upstream
  std::vector<std::uint64_t> fingerprints;
  std::int64_t told_ms = 0;  // by the store's clock

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(RowString{&this->start},
            RowVector<std::uint64_t>{&this->fingerprints}, this->told_ms);
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
