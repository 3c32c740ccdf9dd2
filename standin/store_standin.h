// A stand-in for the platform's store: rows with versions, transactions under
// conditions, and the feed of changes. PUT /faults switches faults on and off;
// PUT /rows/TABLE/KEY writes a row as the operator or a server would.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "http/exchange.h"
#include "http/server.h"
#include "http/task.h"
#include "standin/fault_gate.h"

namespace hornbeamspool::standin {

class StoreStandin {
 public:
  explicit StoreStandin(boost::asio::io_context& io);

  // Returns the port, 0 on failure.
  std::uint16_t Listen(std::string_view address);

  // Writes a row from outside.
  void Put(std::string_view table, std::string_view key,
           std::string_view value);

 private:
  struct Row {
    std::string value;  // base64, as it came
    std::uint64_t version = 0;
    bool removed = false;  // kept for the feed
  };
  using RowKey = std::pair<std::string, std::string>;  // table and key

  http::Task<void> Handle(http::Exchange& exchange);
  http::Response Get(const http::Request& request) const;
  http::Task<http::Response> Feed(const http::Request& request);
  http::Response Transact(std::string_view body);
  std::string Rows(std::string_view table, std::uint64_t after, bool removed,
                   std::string_view from, std::string_view to) const;
  std::int64_t NowMs() const;

  boost::asio::io_context* io;
  http::Server server;
  FaultGate gate;
  std::map<RowKey, Row> rows;
  std::uint64_t version = 0;
};

}  // namespace hornbeamspool::standin
