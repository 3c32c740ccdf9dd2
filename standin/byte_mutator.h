// Malformed variants of messages, for tests of the code that reads them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hornbeamspool::standin {

// Deterministic for a seed.
class ByteMutator {
 public:
  explicit ByteMutator(std::uint64_t seed) : random(seed) {}

  // Applies one to four random changes.
  std::string Mutate(std::string message);
  // Sizes of the pieces in which `bytes` bytes are sent; their sum is `bytes`.
  // More than one piece in this fraction of the calls.
  std::vector<std::size_t> Split(std::size_t bytes, double fraction);
  bool Chance(double fraction);
  // Less than `limit`, which must be positive.
  std::size_t Below(std::size_t limit);

 private:
  void Truncate(std::string& message);
  void ChangeByte(std::string& message);
  void Insert(std::string& message);
  void Erase(std::string& message);
  void Repeat(std::string& message);
  void ReplaceNumber(std::string& message);
  void LengthenValue(std::string& message);
  void Chunk(std::string& message);

  std::mt19937_64 random;
};

}  // namespace hornbeamspool::standin
