// Rows of the table `crashes` that hold one VM's records about poison parts.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "gateway/row_codec.h"

namespace hornbeamspool::gateway {

// A policy::PoisonPartRecord as the store keeps it.
struct PoisonPartRowRecord {
  std::uint8_t kind = 0;
  std::uint64_t part = 0;
  std::string subject;
  std::int64_t in_flight_us = 0;
  std::int64_t at_ms = 0;  // by the store's clock

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(this->kind, this->part, RowString{&this->subject},
            this->in_flight_us, this->at_ms);
  }
};

struct PoisonPartRow {
  std::vector<PoisonPartRowRecord> records;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(RowVector<PoisonPartRowRecord>{&this->records});
  }
};

}  // namespace hornbeamspool::gateway
