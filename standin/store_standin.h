// A stand-in for the platform's store, for tests and the embedded mode.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "standin/fault_injector.h"

namespace hornbeamspool::standin {

// Holds versioned rows and objects in memory. Implements conditional
// transactions and the change feed. PUT /faults sets faults, and PUT
// /rows/TABLE/KEY writes a row as the operator or a server would. PUT /copy
// takes a copy, and PUT /restore goes back to it: what was written since is
// lost, its versions are given out again, and the era rises.
class StoreStandin {
 public:
  explicit StoreStandin(boost::asio::io_context& io);

  // Returns the port, or 0 on failure.
  std::uint16_t Listen(std::string_view address);

  // Writes a row unconditionally, with `value` as plain bytes.
  void Put(std::string_view table, std::string_view key,
           std::string_view value);

 private:
  struct Row {
    std::string value;  // base64, as received
    std::uint64_t version = 0;
    bool removed = false;  // the row is kept for the change feed
  };
  struct RowKey {
    std::string table;
    std::string part;
    std::string key;
    auto operator<=>(const RowKey&) const = default;
  };

  // What a copy holds.
  struct Content {
    std::map<RowKey, Row> rows;
    std::map<std::string, std::string, std::less<>> objects;
    std::uint64_t version = 0;
  };

  http::Task<void> Handle(http::Exchange& exchange);
  // Handles the calls that copy and restore. False if it is another call.
  bool HandleRestore(std::string_view path);
  http::Response WithEra(http::Response response) const;
  http::Response GetRows(const http::Request& request) const;
  http::Task<http::Response> GetChanges(const http::Request& request);
  http::Response ExecuteTransaction(std::string_view body);
  http::Response HandleObject(const http::Request& request);
  static RowKey ParseKey(const boost::json::object& object);
  bool ConditionHolds(const boost::json::object& condition) const;
  boost::json::object ToJson(const RowKey& key, const Row& row) const;
  http::Response RowsResponse(std::uint16_t status,
                              boost::json::array found) const;
  std::int64_t NowMs() const;

  boost::asio::io_context* io;
  http::Server server;
  FaultInjector fault_injector;
  std::map<RowKey, Row> rows;
  std::map<std::string, std::string, std::less<>> objects;
  std::uint64_t version = 0;
  Content copy;
  std::uint64_t era = 1;
};

}  // namespace hornbeamspool::standin
