#include "standin/store_standin.h"

#include <absl/strings/escaping.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <charconv>
#include <chrono>
#include <string>

namespace hornbeamspool::standin {
namespace {

namespace json = boost::json;

// How often a waiting feed looks for changes.
constexpr coordination::Duration kFeedLook = std::chrono::milliseconds(10);

constexpr std::string_view kRowsPath = "/rows/";

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

std::string TextOf(const json::object& object, std::string_view key) {
  return std::string(object.at(key).as_string());
}

}  // namespace

StoreStandin::StoreStandin(boost::asio::io_context& io)
    : io(&io),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::Reject) { return http::JsonResponse(400, "{}"); }),
      gate(io) {}

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
  this->rows[{std::string(table), std::string(key)}] = {
      absl::Base64Escape(std::string(value)), ++this->version, false};
}

http::Task<void> StoreStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  const std::string_view path = request.Path();
  if (path == "/faults") {
    const bool taken = this->gate.Set(request.body);
    co_await exchange.Send(http::JsonResponse(taken ? 200 : 400, "{}"));
    co_return;
  }
  if (path.starts_with(kRowsPath)) {
    const std::string_view name = path.substr(kRowsPath.size());
    const std::size_t slash = name.find('/');
    this->Put(name.substr(0, slash), name.substr(slash + 1), request.body);
    co_await exchange.Send(http::JsonResponse(200, "{}"));
    co_return;
  }
  if (!co_await this->gate.Enter(exchange)) co_return;
  if (path == "/api/rows-feed") {
    http::Response answer = co_await this->Feed(request);
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  if (path == "/api/rows-get") {
    co_await exchange.Send(this->Get(request));
    co_return;
  }
  // Only a write's answer is lost.
  co_await this->gate.Leave(exchange, this->Transact(request.body));
}

// The rows of a table as the members of an answer.
std::string StoreStandin::Rows(std::string_view table, std::uint64_t after,
                               bool removed, std::string_view from,
                               std::string_view to) const {
  json::array found;
  for (const auto& [key, row] : this->rows) {
    if (key.first != table || row.version <= after) continue;
    if (row.removed && !removed) continue;
    if (key.second < from || (!to.empty() && key.second >= to)) continue;
    json::object entry{{"table", key.first},
                       {"part", ""},
                       {"key", key.second},
                       {"value", row.value},
                       {"ver", row.version}};
    if (row.removed) entry["removed"] = true;
    found.push_back(std::move(entry));
  }
  return json::serialize(json::object{{"rows", std::move(found)},
                                      {"truncated", false},
                                      {"ver", this->version},
                                      {"now_ms", this->NowMs()}});
}

http::Response StoreStandin::Get(const http::Request& request) const {
  return http::JsonResponse(
      200, this->Rows(request.QueryValue("table"), 0, false,
                      request.QueryValue("from"), request.QueryValue("to")));
}

http::Task<http::Response> StoreStandin::Feed(const http::Request& request) {
  const std::string table = request.QueryValue("table");
  const std::uint64_t after = NumberOf(request.QueryValue("after"));
  const auto end =
      std::chrono::steady_clock::now() +
      std::chrono::milliseconds(NumberOf(request.QueryValue("wait_ms")));
  http::Timer timer(*this->io);
  while (std::chrono::steady_clock::now() < end) {
    bool changed = false;
    for (const auto& [key, row] : this->rows) {
      changed = changed || (key.first == table && row.version > after);
    }
    if (changed) break;
    timer.expires_after(kFeedLook);
    co_await timer.async_wait(http::kAwait);
  }
  co_return http::JsonResponse(200, this->Rows(table, after, true, {}, {}));
}

http::Response StoreStandin::Transact(std::string_view body) {
  const json::value parsed = json::parse(body);
  const json::object& call = parsed.as_object();
  for (const json::value& each : call.at("precondition").as_array()) {
    const json::object& condition = each.as_object();
    const auto found =
        this->rows.find({TextOf(condition, "table"), TextOf(condition, "key")});
    const bool absent = found == this->rows.end() || found->second.removed;
    const std::uint64_t version = absent ? 0 : found->second.version;
    if (version == condition.at("ver").to_number<std::uint64_t>()) continue;
    json::array current;
    for (const json::value& other : call.at("precondition").as_array()) {
      const json::object& row = other.as_object();
      const auto seen =
          this->rows.find({TextOf(row, "table"), TextOf(row, "key")});
      if (seen == this->rows.end() || seen->second.removed) continue;
      current.push_back({{"table", seen->first.first},
                         {"part", ""},
                         {"key", seen->first.second},
                         {"value", seen->second.value},
                         {"ver", seen->second.version}});
    }
    return http::JsonResponse(
        412, json::serialize(json::object{{"rows", std::move(current)},
                                          {"ver", this->version},
                                          {"now_ms", this->NowMs()}}));
  }
  ++this->version;
  for (const json::value& each : call.at("puts").as_array()) {
    const json::object& row = each.as_object();
    this->rows[{TextOf(row, "table"), TextOf(row, "key")}] = {
        TextOf(row, "value"), this->version, false};
  }
  for (const json::value& each : call.at("remove").as_array()) {
    const json::object& row = each.as_object();
    this->rows[{TextOf(row, "table"), TextOf(row, "key")}] = {"", this->version,
                                                              true};
  }
  return http::JsonResponse(
      200, json::serialize(json::object{{"ver", this->version},
                                        {"now_ms", this->NowMs()}}));
}

}  // namespace hornbeamspool::standin
