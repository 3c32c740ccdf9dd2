#include "standin/byte_mutator.h"

#include <algorithm>
#include <array>

namespace hornbeamspool::standin {
namespace {

using std::string_view_literals::operator""sv;

constexpr std::size_t kMaxChanges = 4;
constexpr std::size_t kMaxRangeBytes = 64;

// More than Beast allows in the value of a field.
constexpr std::size_t kLongValueBytes = 70'000;

constexpr std::array kInsertions{"\r\n"sv,     "\r\n\r\n"sv,
                                 "\r"sv,       "\n "sv,
                                 "\0"sv,       "0\r\n\r\n"sv,
                                 "0\r\n"sv,    ";"sv,
                                 "\"\\"sv,     ","sv,
                                 ": "sv,       "\xff\xfe"sv,
                                 "-"sv,        "HTTP/1.1 200"sv,
                                 "[[[[[[[["sv, "X: y\r\n z\r\n"sv,
                                 "e999"sv,     "null"sv,
                                 "{}"sv};

constexpr std::array kNumbers{"0"sv,
                              "-1"sv,
                              "65535"sv,
                              "65536"sv,
                              "4294967296"sv,
                              "9223372036854775807"sv,
                              "-9223372036854775808"sv,
                              "9223372036854775808"sv,
                              "18446744073709551615"sv,
                              "99999999999999999999999999"sv,
                              "1e308"sv,
                              "0.0000001"sv};

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

}  // namespace

bool ByteMutator::Chance(double fraction) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < fraction;
}

std::size_t ByteMutator::Below(std::size_t limit) {
  return this->random() % limit;
}

std::string ByteMutator::Mutate(std::string message) {
  static constexpr std::array kChanges{
      &ByteMutator::Truncate,      &ByteMutator::ChangeByte,
      &ByteMutator::Insert,        &ByteMutator::Erase,
      &ByteMutator::Repeat,        &ByteMutator::ReplaceNumber,
      &ByteMutator::ReplaceNumber, &ByteMutator::LengthenValue,
      &ByteMutator::Chunk};
  const std::size_t changes = 1 + this->Below(kMaxChanges);
  for (std::size_t i = 0; i < changes && !message.empty(); ++i) {
    (this->*kChanges[this->Below(kChanges.size())])(message);
  }
  return message;
}

std::vector<std::size_t> ByteMutator::Split(std::size_t bytes,
                                            double fraction) {
  if (!this->Chance(fraction)) return {bytes};
  std::vector<std::size_t> pieces;
  const std::size_t max_piece =
      1 + this->Below(std::max<std::size_t>(bytes, 1));
  while (bytes > 0) {
    pieces.push_back(std::min(bytes, 1 + this->Below(max_piece)));
    bytes -= pieces.back();
  }
  return pieces;
}

void ByteMutator::Truncate(std::string& message) {
  message.resize(this->Below(message.size()));
}

void ByteMutator::ChangeByte(std::string& message) {
  message[this->Below(message.size())] = static_cast<char>(this->Below(256));
}

void ByteMutator::Insert(std::string& message) {
  message.insert(this->Below(message.size()),
                 kInsertions[this->Below(kInsertions.size())]);
}

void ByteMutator::Erase(std::string& message) {
  message.erase(this->Below(message.size()), 1 + this->Below(kMaxRangeBytes));
}

void ByteMutator::Repeat(std::string& message) {
  const std::size_t at = this->Below(message.size());
  message.insert(at, message.substr(at, 1 + this->Below(kMaxRangeBytes)));
}

// Replaces a decimal number by one near a limit.
void ByteMutator::ReplaceNumber(std::string& message) {
  const auto from = message.begin() +
                    static_cast<std::ptrdiff_t>(this->Below(message.size()));
  const auto first = std::find_if(from, message.end(), IsDigit);
  const auto last = std::find_if_not(first, message.end(), IsDigit);
  message.replace(first, last, kNumbers[this->Below(kNumbers.size())]);
}

// Lengthens what follows a colon.
void ByteMutator::LengthenValue(std::string& message) {
  const std::size_t colon = message.find(": ", this->Below(message.size()));
  if (colon == std::string::npos) return;
  message.insert(colon + 2, std::string(kLongValueBytes, 'a'));
}

// Sends the body of an HTTP message in chunks, with an extension and a trailer.
void ByteMutator::Chunk(std::string& message) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t end = message.find(kEnd);
  if (end == std::string::npos) return;
  std::string head = message.substr(0, end + 2);
  std::string_view body = message;
  body.remove_prefix(end + kEnd.size());
  const std::size_t length = head.find(kLength);
  if (length != std::string::npos) {
    head.erase(length, head.find("\r\n", length) + 2 - length);
  }
  std::string chunks = "Transfer-Encoding: chunked\r\n\r\n";
  for (const char byte : body) {
    chunks += "1";
    if (this->Chance(0.2)) chunks += ";x=\"y\"";
    chunks += "\r\n";
    chunks += byte;
    chunks += "\r\n";
  }
  chunks += this->Chance(0.5) ? "0\r\n\r\n" : "0\r\nX: y\r\n\r\n";
  message = head + chunks;
}

}  // namespace hornbeamspool::standin
