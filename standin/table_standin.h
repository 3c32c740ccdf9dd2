// A stand-in for the transactional table service: the part of the DynamoDB
// JSON API that the system uses, in memory.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "http/message.h"

namespace hornbeamspool::standin {

class TableStandin {
 public:
  // Answers one call; `operation` is the part of X-Amz-Target after the dot.
  http::Response Call(std::string_view operation, std::string_view body);

  std::int64_t Reads() const { return this->reads; }
  std::int64_t Writes() const { return this->writes; }

 private:
  using Row = boost::json::object;
  using Partition = std::map<std::string, Row, std::less<>>;

  http::Response Get(const boost::json::object& body);
  http::Response Query(const boost::json::object& body);
  http::Response Transact(const boost::json::object& body);
  const Row* Find(const Row& keyed) const;
  void Apply(const boost::json::object& action);

  std::map<std::string, Partition, std::less<>> partitions;
  std::map<std::string, std::uint64_t, std::less<>> tokens;  // carried out
  std::deque<std::string> token_order;
  std::int64_t reads = 0;
  std::int64_t writes = 0;
};

}  // namespace hornbeamspool::standin
