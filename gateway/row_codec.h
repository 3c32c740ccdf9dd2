// Encodes the values of the gateway's own rows in cereal's portable binary
// format. Lengths are checked before memory is allocated for them, because a
// row that another writer left may claim any length.
#pragma once

#include <cereal/archives/portable_binary.hpp>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace hornbeamspool::gateway {

// The largest row that the store takes.
inline constexpr std::uint64_t kMaxRowBytes = 65'536;

// Reads the length of a string, vector or map. Throws cereal::Exception when it
// exceeds kMaxRowBytes.
template <typename Archive>
std::uint64_t LoadRowLength(Archive& archive) {
  std::uint64_t length = 0;
  archive(length);
  if (length > kMaxRowBytes) {
    throw cereal::Exception("length exceeds the maximum size of a row");
  }
  return length;
}

// Serializes a string with its length checked.
struct RowString {
  std::string* value;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->value->size();
    archive(size, cereal::binary_data(this->value->data(), size));
  }

  template <typename Archive>
  void load(Archive& archive) {
    const std::uint64_t size = LoadRowLength(archive);
    this->value->resize(size);
    archive(cereal::binary_data(this->value->data(), size));
  }
};

// Serializes a vector with its length checked. Loading allocates memory only
// for elements that are present.
template <typename Element>
struct RowVector {
  std::vector<Element>* values;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->values->size();
    archive(size);
    for (const Element& element : *this->values) archive(element);
  }

  template <typename Archive>
  void load(Archive& archive) {
    const std::uint64_t size = LoadRowLength(archive);
    for (std::uint64_t i = 0; i < size; ++i) {
      Element element{};
      archive(element);
      this->values->push_back(std::move(element));
    }
  }
};

// Serializes a map by name with its length checked.
template <typename Value>
struct RowMap {
  std::map<std::string, Value>* values;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->values->size();
    archive(size);
    for (auto& [name, value] : *this->values) {
      std::string copy = name;
      archive(RowString{&copy}, value);
    }
  }

  template <typename Archive>
  void load(Archive& archive) {
    const std::uint64_t size = LoadRowLength(archive);
    for (std::uint64_t i = 0; i < size; ++i) {
      std::string name;
      archive(RowString{&name});
      archive((*this->values)[name]);
    }
  }
};

// Returns the encoded bytes of `value`.
template <typename Value>
std::string EncodeRow(const Value& value) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(value);
  return bytes.str();
}

// Empty when the bytes do not decode to a valid value.
template <typename Value>
std::optional<Value> DecodeRow(const std::string& bytes) {
  try {
    std::istringstream stream(bytes);
    cereal::PortableBinaryInputArchive archive(stream);
    Value value;
    archive(value);
    return value;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace hornbeamspool::gateway
