// Tests the router's commands on a store that does not respond.
#include "hornbeamspool/table_worker.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <variant>

#include "hornbeamspool/metrics.h"
#include "http/client.h"
#include "platform/item_table.h"
#include "standin/store_standin.h"
#include "tests/run_task.h"

namespace hornbeamspool {
namespace {

TEST_CASE("a write without a response is retried by one layer only") {
  boost::asio::io_context io{1};
  standin::StoreStandin standin(io);
  const std::string address =
      "127.0.0.1:" + std::to_string(standin.Listen("127.0.0.1:0"));
  http::Client client(io);
  platform::StoreClient store(client, address);
  platform::ItemTable table(store, "ledger");
  Metrics metrics;
  TableWorker worker(table, "router-1@7", metrics);

  http::Request faults;
  faults.method = "PUT";
  faults.target = "/faults";
  faults.body = R"({"down": true})";
  const http::FetchOptions options;
  RunTask(io, client.Fetch(address, faults, options));

  policy::CommitIntent intent;
  intent.organisation = "o";
  intent.request_key = "k";
  const policy::TableReply reply = RunTask(io, worker.Execute(intent));
  REQUIRE(std::holds_alternative<policy::IntentCommitted>(reply));
  CHECK(std::get<policy::IntentCommitted>(reply).status ==
        policy::TableStatus::kUnknown);
  // The attempts of ItemTable; retries of the worker would multiply them.
  CHECK(store.Calls() <= 4);
}

}  // namespace
}  // namespace hornbeamspool
