// Values of the gateway's own rows: cereal's portable binary form. Lengths are
// checked before memory is taken for them, since another writer's bytes may
// claim any length.
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

// The store's rows are no longer than this.
inline constexpr std::uint64_t kMaxRowBytes = 65'536;

// Reads the length of a text or a list. Throws when no row can hold it.
template <typename Archive>
std::uint64_t LoadRowLength(Archive& archive) {
  std::uint64_t length = 0;
  archive(length);
  if (length > kMaxRowBytes) {
    throw cereal::Exception("a length beyond that of a row");
  }
  return length;
}

// A text in a row.
struct RowString {
  std::string* text;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->text->size();
    archive(size, cereal::binary_data(this->text->data(), size));
  }

  template <typename Archive>
  void load(Archive& archive) {
    const std::uint64_t size = LoadRowLength(archive);
    this->text->resize(size);
    archive(cereal::binary_data(this->text->data(), size));
  }
};

// A list in a row; grows with the elements that are there.
template <typename Element>
struct RowVector {
  std::vector<Element>* list;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->list->size();
    archive(size);
    for (const Element& element : *this->list) archive(element);
  }

  template <typename Archive>
  void load(Archive& archive) {
    const std::uint64_t size = LoadRowLength(archive);
    for (std::uint64_t i = 0; i < size; ++i) {
      Element element{};
      archive(element);
      this->list->push_back(std::move(element));
    }
  }
};

// Values by name in a row.
template <typename Value>
struct RowMap {
  std::map<std::string, Value>* map;

  template <typename Archive>
  void save(Archive& archive) const {
    const std::uint64_t size = this->map->size();
    archive(size);
    for (auto& [name, value] : *this->map) {
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
      archive((*this->map)[name]);
    }
  }
};

template <typename Value>
std::string EncodeRow(const Value& value) {
  std::ostringstream bytes;
  cereal::PortableBinaryOutputArchive archive(bytes);
  archive(value);
  return bytes.str();
}

// Empty when the bytes are another writer's.
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
