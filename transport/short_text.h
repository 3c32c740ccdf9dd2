// A text in a datagram, with a length of 16 bits: a broken length costs little
// memory.
#pragma once

#include <cereal/cereal.hpp>
#include <cstdint>
#include <string>

namespace hornbeamspool::transport {

struct ShortText {
  std::string* text;

  template <typename Archive>
  void save(Archive& archive) const {
    const auto size = static_cast<std::uint16_t>(this->text->size());
    archive(size, cereal::binary_data(this->text->data(), size));
  }

  template <typename Archive>
  void load(Archive& archive) {
    std::uint16_t size = 0;
    archive(size);
    this->text->resize(size);
    archive(cereal::binary_data(this->text->data(), size));
  }
};

}  // namespace hornbeamspool::transport
