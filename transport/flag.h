// A cereal wrapper that reads a bool from any byte. A bool that holds another
// value than 0 or 1 has undefined behaviour.
#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>

namespace hornbeamspool::transport {

struct Flag {
  bool* value;

  template <typename Archive>
  void load(Archive& archive) {
    std::uint8_t byte = 0;
    archive(byte);
    *this->value = byte != 0;
  }
};

}  // namespace hornbeamspool::transport
