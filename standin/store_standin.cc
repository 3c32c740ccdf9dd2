#include "standin/store_standin.h"

#include <absl/strings/escaping.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace hornbeamspool::standin {
namespace {

namespace json = boost::json;

// Conditions, puts and removals of one transaction.
constexpr std::size_t kMaxTransactionEntries = 100;

// How often a waiting feed request checks for changes.
constexpr coordination::Duration kFeedPollInterval =
    std::chrono::milliseconds(10);

constexpr std::string_view kRowsPath = "/rows/";
constexpr std::string_view kPutObjectPath = "/api/blob-put/";
constexpr std::string_view kGetObjectPath = "/api/blob-get/";

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string StringField(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}

// Whether a transaction has at most the allowed number of entries, and spans
// several partitions ("part" on the wire) only if it sets "across".
bool IsWithinLimits(const json::object& call) {
  std::size_t entries = 0;
  std::set<std::string> parts;
  for (const char* list : {"precondition", "puts", "remove"}) {
    for (const json::value& each : call.at(list).as_array()) {
      ++entries;
      parts.insert(StringField(each.as_object(), "part"));
    }
  }
  return entries <= kMaxTransactionEntries &&
         (parts.size() <= 1 || call.contains("across"));
}

}  // namespace

StoreStandin::StoreStandin(boost::asio::io_context& io)
    : io(&io),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason) { return http::JsonResponse(400, "{}"); }),
      fault_injector(io) {}

std::uint16_t StoreStandin::Listen(std::string_view address) {
  return this->server.Listen(address);
}

std::int64_t StoreStandin::NowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

void StoreStandin::Put(std::string_view table, std::string_view key,
                       std::string_view value) {
  this->rows[RowKey{std::string(table), {}, std::string(key)}] = {
      absl::Base64Escape(std::string(value)), ++this->version, false};
}

http::Task<void> StoreStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  const std::string_view path = request.Path();
  if (co_await this->fault_injector.HandleControl(exchange)) co_return;
  if (path.starts_with(kRowsPath)) {
    const std::string_view name = path.substr(kRowsPath.size());
    const std::size_t slash = name.find('/');
    this->Put(name.substr(0, slash), name.substr(slash + 1), request.body);
    co_await exchange.Send(http::JsonResponse(200, "{}"));
    co_return;
  }
  if (this->HandleRestore(path)) {
    co_await exchange.Send(http::JsonResponse(200, "{}"));
    co_return;
  }
  if (!co_await this->fault_injector.BeforeRequest(exchange)) co_return;
  if (path == "/api/rows-feed") {
    http::Response answer = co_await this->GetChanges(request);
    co_await exchange.Send(this->WithEra(std::move(answer)));
    co_return;
  }
  if (path == "/api/rows-get") {
    co_await exchange.Send(this->WithEra(this->GetRows(request)));
    co_return;
  }
  if (path.starts_with("/api/blob-")) {
    co_await exchange.Send(this->WithEra(this->HandleObject(request)));
    co_return;
  }
  // Only answers to transactions can be lost.
  co_await this->fault_injector.Respond(
      exchange, this->WithEra(this->ExecuteTransaction(request.body)));
}

bool StoreStandin::HandleRestore(std::string_view path) {
  if (path == "/copy") {
    this->copy = {this->rows, this->objects, this->version};
    return true;
  }
  if (path != "/restore") return false;
  this->rows = this->copy.rows;
  this->objects = this->copy.objects;
  this->version = this->copy.version;
  ++this->era;
  return true;
}

http::Response StoreStandin::WithEra(http::Response response) const {
  response.headers.push_back({"Store-Era", std::to_string(this->era)});
  return response;
}

json::object StoreStandin::ToJson(const RowKey& key, const Row& row) const {
  json::object object{{"table", key.table},
                      {"part", key.part},
                      {"key", key.key},
                      {"value", row.value},
                      {"ver", row.version}};
  if (row.removed) object["removed"] = true;
  return object;
}

http::Response StoreStandin::RowsResponse(std::uint16_t status,
                                          json::array found) const {
  return http::JsonResponse(
      status, json::serialize(json::object{{"rows", std::move(found)},
                                           {"truncated", false},
                                           {"ver", this->version},
                                           {"now_ms", this->NowMs()}}));
}

http::Response StoreStandin::GetRows(const http::Request& request) const {
  const std::string table = request.QueryValue("table");
  const std::string part = request.QueryValue("part");
  const std::string from = request.QueryValue("from");
  const std::string to = request.QueryValue("to");
  json::array found;
  for (const auto& [key, row] : this->rows) {
    if (key.table != table || key.part != part || row.removed) continue;
    if (key.key < from || (!to.empty() && key.key >= to)) continue;
    found.push_back(this->ToJson(key, row));
  }
  return this->RowsResponse(200, std::move(found));
}

http::Task<http::Response> StoreStandin::GetChanges(
    const http::Request& request) {
  const std::string table = request.QueryValue("table");
  const std::uint64_t after = ParseNumber(request.QueryValue("after"));
  const auto end =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(ParseNumber(request.QueryValue("wait_ms")));
  http::Timer timer(*this->io);
  while (true) {
    // A version that the store has not given out has no history.
    if (after > this->version) co_return http::JsonResponse(410, "{}");
    std::multimap<std::uint64_t, json::value> changed;  // by version
    for (const auto& [key, row] : this->rows) {
      if (key.table != table || row.version <= after) continue;
      changed.emplace(row.version, this->ToJson(key, row));
    }
    const bool timed_out = std::chrono::steady_clock::now() >= end;
    if (timed_out || !changed.empty()) {
      json::array rows;
      for (auto& [version, row] : changed) rows.push_back(std::move(row));
      co_return this->RowsResponse(200, std::move(rows));
    }
    timer.expires_after(kFeedPollInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Response StoreStandin::HandleObject(const http::Request& request) {
  const std::string_view path = request.Path();
  if (path.starts_with(kPutObjectPath)) {
    const std::string id(path.substr(kPutObjectPath.size()));
    this->objects[id] = request.body;
    return http::JsonResponse(200, "{}");
  }
  const auto found =
      path.starts_with(kGetObjectPath)
          ? this->objects.find(path.substr(kGetObjectPath.size()))
          : this->objects.end();
  if (found == this->objects.end()) return http::JsonResponse(404, "{}");
  return http::JsonResponse(200, found->second);
}

StoreStandin::RowKey StoreStandin::ParseKey(const json::object& object) {
  return {StringField(object, "table"), StringField(object, "part"),
          StringField(object, "key")};
}

bool StoreStandin::ConditionHolds(const json::object& condition) const {
  const auto found = this->rows.find(ParseKey(condition));
  const bool absent = found == this->rows.end() || found->second.removed;
  const std::uint64_t version = absent ? 0 : found->second.version;
  return version == condition.at("ver").to_number<std::uint64_t>();
}

http::Response StoreStandin::ExecuteTransaction(std::string_view body) {
  const json::value parsed = json::parse(body);
  const json::object& call = parsed.as_object();
  if (!IsWithinLimits(call)) return http::JsonResponse(400, "{}");
  bool holds = true;
  json::array current;
  for (const json::value& each : call.at("precondition").as_array()) {
    const json::object& condition = each.as_object();
    holds = holds && this->ConditionHolds(condition);
    const auto found = this->rows.find(ParseKey(condition));
    if (found == this->rows.end() || found->second.removed) continue;
    current.push_back(this->ToJson(found->first, found->second));
  }
  if (!holds) return this->RowsResponse(412, std::move(current));
  ++this->version;
  for (const json::value& each : call.at("puts").as_array()) {
    const json::object& row = each.as_object();
    this->rows[ParseKey(row)] = {StringField(row, "value"), this->version,
                                 false};
  }
  for (const json::value& each : call.at("remove").as_array()) {
    this->rows[ParseKey(each.as_object())] = {"", this->version, true};
  }
  return this->RowsResponse(200, {});
}

}  // namespace hornbeamspool::standin
