// Coroutines that nobody waits for, with exceptions in them.
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

http::Task<void> ThrowUntil(int& begun, int sound) {
  if (++begun < sound) throw std::length_error("too long");
  co_return;
}

TEST_CASE("a duty that an exception ends is begun again") {
  boost::asio::io_context io{1};
  int begun = 0;
  std::vector<std::string> faults;
  http::SpawnBackgroundTask(
      io, [&] { return ThrowUntil(begun, 3); },
      [&](std::string_view fault) { faults.emplace_back(fault); });
  io.run();
  CHECK(begun == 3);
  CHECK(faults == std::vector<std::string>{"too long", "too long"});
}

TEST_CASE("a task that an exception ends is told, once") {
  boost::asio::io_context io{1};
  int begun = 0;
  int faults = 0;
  http::Spawn(io, ThrowUntil(begun, 3), [&](std::string_view) { ++faults; });
  io.run();
  CHECK(begun == 1);
  CHECK(faults == 1);
}

// A store, and a follower whose listener throws at each row named "bad".
struct FollowBench {
  boost::asio::io_context io{1};
  standin::StoreStandin standin{io};
  std::string address =
      "127.0.0.1:" + std::to_string(standin.Listen("127.0.0.1:0"));
  http::Client client{io};
  platform::StoreClient store{client, address};
  std::vector<std::string> taken;
  std::vector<std::string> faults;
  platform::TableFollower follower{
      io,
      store,
      "news",
      {[this](const auto&) { this->WriteAfterFirstRead(); },
       [this](const auto& rows) { this->Take(rows); }, [](bool) {},
       [this](std::string_view fault) { this->faults.emplace_back(fault); }}};

  void Take(const std::vector<platform::StoreRow>& rows) {
    for (const platform::StoreRow& row : rows) {
      if (row.key == "bad") throw std::bad_alloc();
      this->taken.push_back(row.key);
      if (row.key == "last") this->io.stop();
    }
  }

  void WriteAfterFirstRead() {
    http::Spawn(this->io, this->WriteAll({"first", "bad", "second", "last"}),
                [](std::string_view) {});
  }

  http::Task<void> WriteAll(std::vector<std::string> keys) {
    for (const std::string& key : keys) {
      const std::vector<platform::StoreRow> rows{{"news", key, "value"}};
      co_await this->store.Write(rows);
    }
  }
};

TEST_CASE("a row that the listener can't take costs no later row") {
  FollowBench bench;
  bench.follower.Start();
  bench.io.run_for(std::chrono::seconds(10));
  REQUIRE_FALSE(bench.taken.empty());
  CHECK(bench.taken.back() == "last");
  CHECK(std::count(bench.taken.begin(), bench.taken.end(), "second") >= 1);
  CHECK_FALSE(bench.faults.empty());
}

}  // namespace
}  // namespace hornbeamspool
