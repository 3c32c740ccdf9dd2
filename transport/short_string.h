// A cereal wrapper that encodes a string with a 16-bit length, so that a
// corrupt length can't cause a large allocation.
#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>

namespace hornbeamspool::transport {

struct ShortString {
  std::string* string;

  template <typename Archive>
  void save(Archive& archive) const {
    const auto size = static_cast<std::uint16_t>(this->string->size());
    archive(size, cereal::binary_data(this->string->data(), size));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint16_t size = 0;
    archive(size);
    this->string->resize(size);
    archive(cereal::binary_data(this->string->data(), size));
  }
};

}  // namespace hornbeamspool::transport
