// Tests of background tasks that exceptions end, and of a table follower whose
// listener throws.
#include <doctest/doctest.h>

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <new>
#include <stdexcept>
#include <string>
#include <vector>

#include "http/background_task.h"
#include "http/client.h"
#include "platform/store_client.h"
#include "platform/table_follower.h"
#include "standin/store_standin.h"
#include "tests/run_task.h"

namespace hornbeamspool {
namespace {

// Throws until it has been started `first_success` times.
http::Task<void> ThrowUntilStart(int& starts, int first_success) {
  if (++starts < first_success) throw std::length_error("too long");
  co_return;
}

TEST_CASE("a background task is restarted after an exception") {
  boost::asio::io_context io{1};
  int starts = 0;
  std::vector<std::string> errors;
  http::SpawnBackgroundTask(
      io, [&] { return ThrowUntilStart(starts, 3); },
      [&](std::string_view error) { errors.emplace_back(error); });
  io.run();
  CHECK(starts == 3);
  CHECK(errors == std::vector<std::string>{"too long", "too long"});
}

TEST_CASE("an exception that ends a spawned task is reported once") {
  boost::asio::io_context io{1};
  int starts = 0;
  int errors = 0;
  http::Spawn(io, ThrowUntilStart(starts, 3),
              [&](std::string_view) { ++errors; });
  io.run();
  CHECK(starts == 1);
  CHECK(errors == 1);
}

// A store, and a table follower whose listener throws at each row with the key
// "bad".
struct FollowerFixture {
  boost::asio::io_context io{1};
  standin::StoreStandin standin{io};
  std::string address =
      "127.0.0.1:" + std::to_string(standin.Listen("127.0.0.1:0"));
  http::Client client{io};
  platform::StoreClient store{client, address};
  std::vector<std::string> received_keys;
  std::vector<std::string> errors;
  platform::TableFollower follower{
      io,
      store,
      "items",
      {[this](const auto&) { this->WriteAfterFirstRead(); },
       [this](const auto& rows) { this->OnRows(rows); }, [](bool) {},
       [this](std::string_view error) { this->errors.emplace_back(error); }}};

  void OnRows(const std::vector<platform::StoreRow>& rows) {
    for (const platform::StoreRow& row : rows) {
      if (row.key == "bad") throw std::bad_alloc();
      this->received_keys.push_back(row.key);
      if (row.key == "last") this->io.stop();
    }
  }

  void WriteAfterFirstRead() {
    http::Spawn(this->io, this->WriteAll({"first", "bad", "second", "last"}),
                [](std::string_view) {});
  }

  http::Task<void> WriteAll(std::vector<std::string> keys) {
    for (const std::string& key : keys) {
      const std::vector<platform::StoreRow> rows{{"items", key, "value"}};
      co_await this->store.Write(rows);
    }
  }
};

TEST_CASE("rows after one on which the listener throws are still delivered") {
  FollowerFixture fixture;
  fixture.follower.Start();
  fixture.io.run_for(std::chrono::seconds(10));
  REQUIRE_FALSE(fixture.received_keys.empty());
  CHECK(fixture.received_keys.back() == "last");
  CHECK(std::count(fixture.received_keys.begin(), fixture.received_keys.end(),
                   "second") >= 1);
  CHECK_FALSE(fixture.errors.empty());
}

}  // namespace
}  // namespace hornbeamspool
