// Tests with a store that comes back from an older copy and gives out its
// versions anew.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "http/client.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "standin/store_standin.h"
#include "tests/run_task.h"

namespace hornbeamspool {
namespace {

// A follower of a table of the stand-in.
struct Fixture {
  void Put(const std::string& path, const std::string& body) {
    http::Request request;
    request.method = "PUT";
    request.target = path;
    request.body = body;
    const http::FetchResult result =
        RunTask(this->io, this->client.Fetch(this->address, request, {}));
    REQUIRE(result.response.status == 200);
  }
  // Runs until the value of the row has been delivered, or for some seconds.
  void Await(const std::string& value) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!this->Received(value) && std::chrono::steady_clock::now() < end) {
      this->io.restart();
      this->io.run_for(std::chrono::milliseconds(20));
    }
  }
  bool Received(const std::string& value) const {
    return std::find(this->values.begin(), this->values.end(), value) !=
           this->values.end();
  }
  void OnRows(const std::vector<platform::StoreRow>& rows) {
    for (const platform::StoreRow& row : rows) {
      this->values.push_back(row.value);
    }
  }

  boost::asio::io_context io{1};
  standin::StoreStandin standin{io};
  std::string address =
      "127.0.0.1:" + std::to_string(standin.Listen("127.0.0.1:0"));
  http::Client client{io};
  platform::StoreClient store{client, address};
  std::vector<std::string> values;  // of all rows, as they were delivered
  platform::TableFollower follower{
      io,
      store,
      "op",
      {[this](const auto& rows) { this->OnRows(rows); },
       [this](const auto& rows) { this->OnRows(rows); }, [](bool) {}}};
};

// A follower that found the store again after its versions had passed the last
// one that the follower knew used to miss the changes since the copy.
TEST_CASE("a follower receives changes whose versions are given out anew") {
  Fixture fixture;
  fixture.Put("/rows/op/config", "old");
  fixture.Put("/copy", "");
  fixture.follower.Start();
  fixture.Await("old");
  fixture.Put("/rows/op/config", "lost");
  fixture.Await("lost");
  fixture.Put("/faults", R"({"down":true})");
  fixture.Put("/restore", "");
  fixture.Put("/rows/op/config", "confirmed");
  for (int i = 0; i < 5; ++i) fixture.Put("/rows/servers/a", "x");
  fixture.Put("/faults", R"({"down":false})");
  fixture.Await("confirmed");
  CHECK(fixture.Received("confirmed"));
}

TEST_CASE("a follower reads a store anew whose versions went back") {
  Fixture fixture;
  fixture.Put("/rows/op/config", "old");
  fixture.Put("/copy", "");
  for (int i = 0; i < 5; ++i) fixture.Put("/rows/op/config", "lost");
  fixture.follower.Start();
  fixture.Await("lost");
  fixture.Put("/restore", "");
  fixture.Await("old");
  CHECK(fixture.Received("old"));
}

}  // namespace
}  // namespace hornbeamspool
