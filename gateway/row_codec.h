// Values of the gateway's own rows: cereal's portable binary form.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <sstream>
#include <string>

namespace hornbeamspool::gateway {

template <typename Value>
std::string EncodeRow(const Value& value) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(value);
  return bytes.str();
}

// Throws cereal::Exception when the bytes are another writer's.
template <typename Value>
Value DecodeRow(const std::string& bytes) {
  std::istringstream stream(bytes);
  cereal::PortableBinaryInputArchive archive(stream);
  Value value;
  archive(value);
  return value;
}

}  // namespace hornbeamspool::gateway
