// Items written under conditions, against the stand-in of the store.
#include "platform/item_table.h"

#include <doctest/doctest.h>

#include <boost/asio/io_context.hpp>
#include <string>
#include <utility>
#include <vector>

#include "http/client.h"
#include "standin/store_standin.h"
#include "tests/run_task.h"

namespace hornbeamspool::platform {
namespace {

// A store and a client of it on one io_context.
struct Bench {
  boost::asio::io_context io{1};
  standin::StoreStandin standin{io};
  std::string address =
      "127.0.0.1:" + std::to_string(standin.Listen("127.0.0.1:0"));
  http::Client client{io};
  StoreClient store{client, address};
  ItemTable table{store, "ledger"};

  template <typename T>
  T Run(http::Task<T> task) {
    return RunTask(this->io, std::move(task));
  }

  void SetFaults(std::string text) {
    http::Request request;
    request.method = "PUT";
    request.target = "/faults";
    request.body = std::move(text);
    const http::FetchOptions options;
    this->Run(this->client.Fetch(this->address, request, options));
  }
};

WriteAction Put(ItemKey key, std::int64_t value, Condition condition = {}) {
  WriteAction action;
  action.item.key = std::move(key);
  action.item.attributes["value"] = value;
  action.condition = std::move(condition);
  return action;
}

Condition Equal(std::int64_t value) {
  return {Condition::Kind::kEqual, "value", value};
}

Condition Absent() { return {Condition::Kind::kAbsent, {}, {}}; }

TransactOutcome Write(Bench& bench, std::vector<WriteAction> actions,
                      std::string operation) {
  return bench.Run(
      bench.table.Transact(std::move(actions), std::move(operation)));
}

std::int64_t ValueOf(Bench& bench, ItemKey key) {
  const auto read = bench.Run(bench.table.Get(std::move(key)));
  return read.item ? read.item->Number("value") : -1;
}

TEST_CASE("an item is created once, and the second try meets the first") {
  Bench bench;
  CHECK(Write(bench, {Put({"p", "a"}, 1, Absent())}, "first").outcome ==
        TableOutcome::kOk);
  const auto again = Write(bench, {Put({"p", "a"}, 2, Absent())}, "second");
  CHECK(again.outcome == TableOutcome::kConflict);
  REQUIRE(again.failed.size() == 1);
  REQUIRE(again.failed.front().found);
  CHECK(again.failed.front().found->Number("value") == 1);
}

TEST_CASE("a condition is judged by the value, not by the version last seen") {
  Bench bench;
  ItemTable other(bench.store, "ledger");
  Write(bench, {Put({"p", "a"}, 1)}, "first");
  bench.Run(other.Transact({Put({"p", "a"}, 1)}, "elsewhere"));
  // Another wrote the same value: the condition holds on the newer version.
  CHECK(Write(bench, {Put({"p", "a"}, 2, Equal(1))}, "second").outcome ==
        TableOutcome::kOk);
  CHECK(Write(bench, {Put({"p", "a"}, 3, Equal(1))}, "third").outcome ==
        TableOutcome::kConflict);
  CHECK(ValueOf(bench, {"p", "a"}) == 2);
}

TEST_CASE("all or nothing, also over several partitions") {
  Bench bench;
  Write(bench, {Put({"p", "a"}, 1), Put({"q", "b"}, 1)}, "first");
  const auto outcome =
      Write(bench, {Put({"p", "a"}, 2, Equal(1)), Put({"q", "b"}, 2, Equal(7))},
            "second");
  CHECK(outcome.outcome == TableOutcome::kConflict);
  REQUIRE(outcome.failed.size() == 1);
  CHECK(outcome.failed.front().action == 1);
  CHECK(ValueOf(bench, {"p", "a"}) == 1);
  CHECK(ValueOf(bench, {"q", "b"}) == 1);
}

TEST_CASE("a write whose answer was lost is found, and not done again") {
  Bench bench;
  Write(bench, {Put({"p", "a"}, 1)}, "first");
  bench.SetFaults(R"({"lose_answers": 1})");
  CHECK(Write(bench, {Put({"p", "a"}, 2, Equal(1))}, "second").outcome ==
        TableOutcome::kOk);
  CHECK(ValueOf(bench, {"p", "a"}) == 2);
}

TEST_CASE("a write of another with the same content is no own write") {
  Bench bench;
  ItemTable other(bench.store, "ledger");
  bench.Run(other.Transact({Put({"p", "a"}, 5, Absent())}, "elsewhere"));
  bench.SetFaults(R"({"lose_answers": 1})");
  CHECK(Write(bench, {Put({"p", "a"}, 5, Absent())}, "own").outcome ==
        TableOutcome::kConflict);
}

TEST_CASE("a store that does not answer leaves the outcome open") {
  Bench bench;
  bench.SetFaults(R"({"down": true})");
  CHECK(Write(bench, {Put({"p", "a"}, 1)}, "first").outcome ==
        TableOutcome::kUnknown);
  const auto read = bench.Run(bench.table.Get({"p", "a"}));
  CHECK(read.outcome == TableOutcome::kUnavailable);
}

TEST_CASE("an item that was removed can be created again") {
  Bench bench;
  Write(bench, {Put({"p", "a"}, 1)}, "first");
  WriteAction removal;
  removal.kind = WriteAction::Kind::kDelete;
  removal.item.key = {"p", "a"};
  CHECK(Write(bench, {removal}, "second").outcome == TableOutcome::kOk);
  CHECK(ValueOf(bench, {"p", "a"}) == -1);
  CHECK(Write(bench, {Put({"p", "a"}, 2, Absent())}, "third").outcome ==
        TableOutcome::kOk);
}

TEST_CASE("a query lists one partition's items by prefix, in order") {
  Bench bench;
  Write(bench,
        {Put({"p", "grant#b"}, 2), Put({"p", "grant#a"}, 1),
         Put({"p", "settled#a"}, 3), Put({"q", "grant#c"}, 4)},
        "first");
  const auto grants = bench.Run(bench.table.Query("p", "grant#"));
  REQUIRE(grants.items.size() == 2);
  CHECK(grants.items[0].key.sort == "grant#a");
  CHECK(grants.items[1].key.sort == "grant#b");
  CHECK(bench.Run(bench.table.Query("p", "")).items.size() == 3);
}

TEST_CASE("a transaction of the largest size is one call of the store") {
  Bench bench;
  std::vector<WriteAction> actions;
  for (std::size_t i = 0; i < ItemTable::kMaxActions; ++i) {
    actions.push_back(Put({"p", std::to_string(i)}, 1, Absent()));
  }
  CHECK(Write(bench, std::move(actions), "first").outcome == TableOutcome::kOk);
}

TEST_CASE("an object is read as it was put") {
  Bench bench;
  CHECK(bench.Run(bench.store.PutObject("config-1", "text")));
  CHECK(bench.Run(bench.store.GetObject("config-1")) == "text");
  CHECK_FALSE(bench.Run(bench.store.GetObject("config-2")));
}

}  // namespace
}  // namespace hornbeamspool::platform
