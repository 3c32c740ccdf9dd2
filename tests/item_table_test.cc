// Tests conditional writes of items against the stand-in of the store.
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

// The stand-in of the store and a client of it on one io_context.
struct Fixture {
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

  // Sets the faults that the stand-in injects.
  void InjectFaults(std::string faults) {
    http::Request request;
    request.method = "PUT";
    request.target = "/faults";
    request.body = std::move(faults);
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

TransactOutcome Write(Fixture& fixture, std::vector<WriteAction> actions,
                      std::string operation) {
  return fixture.Run(
      fixture.table.Transact(std::move(actions), std::move(operation)));
}

std::int64_t ValueOf(Fixture& fixture, ItemKey key) {
  const auto read = fixture.Run(fixture.table.Get(std::move(key)));
  return read.item ? read.item->Number("value") : -1;
}

TEST_CASE(
    "an item is created once; the second attempt returns the existing item") {
  Fixture fixture;
  CHECK(Write(fixture, {Put({"p", "a"}, 1, Absent())}, "first").outcome ==
        TableOutcome::kOk);
  const auto again = Write(fixture, {Put({"p", "a"}, 2, Absent())}, "second");
  CHECK(again.outcome == TableOutcome::kConflict);
  REQUIRE(again.failed.size() == 1);
  REQUIRE(again.failed.front().found);
  CHECK(again.failed.front().found->Number("value") == 1);
}

TEST_CASE("a condition is checked against the value, not the cached version") {
  Fixture fixture;
  ItemTable other(fixture.store, "ledger");
  Write(fixture, {Put({"p", "a"}, 1)}, "first");
  fixture.Run(other.Transact({Put({"p", "a"}, 1)}, "elsewhere"));
  // Another client wrote the same value, so the condition holds although the
  // cached version is stale.
  CHECK(Write(fixture, {Put({"p", "a"}, 2, Equal(1))}, "second").outcome ==
        TableOutcome::kOk);
  CHECK(Write(fixture, {Put({"p", "a"}, 3, Equal(1))}, "third").outcome ==
        TableOutcome::kConflict);
  CHECK(ValueOf(fixture, {"p", "a"}) == 2);
}

TEST_CASE("a transaction over several partitions is atomic") {
  Fixture fixture;
  Write(fixture, {Put({"p", "a"}, 1), Put({"q", "b"}, 1)}, "first");
  const auto outcome = Write(
      fixture, {Put({"p", "a"}, 2, Equal(1)), Put({"q", "b"}, 2, Equal(7))},
      "second");
  CHECK(outcome.outcome == TableOutcome::kConflict);
  REQUIRE(outcome.failed.size() == 1);
  CHECK(outcome.failed.front().action == 1);
  CHECK(ValueOf(fixture, {"p", "a"}) == 1);
  CHECK(ValueOf(fixture, {"q", "b"}) == 1);
}

TEST_CASE("a write whose response was lost is detected and not repeated") {
  Fixture fixture;
  Write(fixture, {Put({"p", "a"}, 1)}, "first");
  fixture.InjectFaults(R"({"lose_answers": 1})");
  CHECK(Write(fixture, {Put({"p", "a"}, 2, Equal(1))}, "second").outcome ==
        TableOutcome::kOk);
  CHECK(ValueOf(fixture, {"p", "a"}) == 2);
}

TEST_CASE("another client's write of the same content is a conflict") {
  Fixture fixture;
  ItemTable other(fixture.store, "ledger");
  fixture.Run(other.Transact({Put({"p", "a"}, 5, Absent())}, "elsewhere"));
  fixture.InjectFaults(R"({"lose_answers": 1})");
  CHECK(Write(fixture, {Put({"p", "a"}, 5, Absent())}, "own").outcome ==
        TableOutcome::kConflict);
}

TEST_CASE("without a response a write is unknown and a read unavailable") {
  Fixture fixture;
  fixture.InjectFaults(R"({"down": true})");
  CHECK(Write(fixture, {Put({"p", "a"}, 1)}, "first").outcome ==
        TableOutcome::kUnknown);
  const auto read = fixture.Run(fixture.table.Get({"p", "a"}));
  CHECK(read.outcome == TableOutcome::kUnavailable);
}

TEST_CASE("a deleted item can be created again") {
  Fixture fixture;
  Write(fixture, {Put({"p", "a"}, 1)}, "first");
  WriteAction removal;
  removal.kind = WriteAction::Kind::kDelete;
  removal.item.key = {"p", "a"};
  CHECK(Write(fixture, {removal}, "second").outcome == TableOutcome::kOk);
  CHECK(ValueOf(fixture, {"p", "a"}) == -1);
  CHECK(Write(fixture, {Put({"p", "a"}, 2, Absent())}, "third").outcome ==
        TableOutcome::kOk);
}

TEST_CASE("a query returns one partition's items with a prefix, in order") {
  Fixture fixture;
  Write(fixture,
        {Put({"p", "grant#b"}, 2), Put({"p", "grant#a"}, 1),
         Put({"p", "settled#a"}, 3), Put({"q", "grant#c"}, 4)},
        "first");
  const auto grants = fixture.Run(fixture.table.Query("p", "grant#"));
  REQUIRE(grants.items.size() == 2);
  CHECK(grants.items[0].key.sort == "grant#a");
  CHECK(grants.items[1].key.sort == "grant#b");
  CHECK(fixture.Run(fixture.table.Query("p", "")).items.size() == 3);
}

TEST_CASE("a transaction of kMaxActions actions is one call of the store") {
  Fixture fixture;
  std::vector<WriteAction> actions;
  for (std::size_t i = 0; i < ItemTable::kMaxActions; ++i) {
    actions.push_back(Put({"p", std::to_string(i)}, 1, Absent()));
  }
  CHECK(Write(fixture, std::move(actions), "first").outcome ==
        TableOutcome::kOk);
}

TEST_CASE("an object is read as it was stored") {
  Fixture fixture;
  CHECK(fixture.Run(fixture.store.PutObject("config-1", "text")));
  CHECK(fixture.Run(fixture.store.GetObject("config-1")) == "text");
  CHECK_FALSE(fixture.Run(fixture.store.GetObject("config-2")));
}

}  // namespace
}  // namespace hornbeamspool::platform
