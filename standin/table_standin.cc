#include "standin/table_standin.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <exception>
#include <set>
#include <utility>

#include "coordination/rendezvous.h"

namespace hornbeamspool::standin {
namespace {

namespace json = boost::json;

// Tokens remembered; the real service remembers them for ten minutes.
constexpr std::size_t kMaxTokens = 100'000;

std::string TypedText(const json::object& row, std::string_view name) {
  return std::string(row.at(name).as_object().at("S").as_string());
}

http::Response Refusal(std::string_view type, json::object more = {}) {
  more["__type"] = "com.amazonaws.dynamodb.v20120810#" + std::string(type);
  return http::JsonResponse(400, json::serialize(more));
}

// One of the terms `attribute_not_exists(pk)` and `#a = :v`.
bool TermHolds(std::string_view term, const json::object& action,
               const json::object* row) {
  if (term == "attribute_not_exists(pk)") return row == nullptr;
  if (row == nullptr) return false;
  const std::string name(
      action.at("ExpressionAttributeNames").as_object().at("#a").as_string());
  const json::value* present = row->if_contains(name);
  const json::value& wanted =
      action.at("ExpressionAttributeValues").as_object().at(":v");
  return present != nullptr && *present == wanted;
}

bool ConditionHolds(const json::object& action, const json::object* row) {
  const json::value* expression = action.if_contains("ConditionExpression");
  if (expression == nullptr) return true;
  std::string_view rest = expression->as_string();
  constexpr std::string_view kOr = " OR ";
  while (true) {
    const std::size_t mark = rest.find(kOr);
    if (TermHolds(rest.substr(0, mark), action, row)) return true;
    if (mark == std::string_view::npos) return false;
    rest.remove_prefix(mark + kOr.size());
  }
}

// The body of a Put or Delete.
const json::object& ActionBody(const json::value& item) {
  return item.as_object().begin()->value().as_object();
}

const json::object& KeyedRow(const json::value& item) {
  const json::object& body = ActionBody(item);
  const json::value* put = body.if_contains("Item");
  return (put != nullptr ? *put : body.at("Key")).as_object();
}

}  // namespace

http::Response TableStandin::Call(std::string_view operation,
                                  std::string_view body) {
  try {
    const json::value document = json::parse(body);
    if (operation == "GetItem") return this->Get(document.as_object());
    if (operation == "Query") return this->Query(document.as_object());
    if (operation == "TransactWriteItems") {
      return this->Transact(document.as_object());
    }
  } catch (const std::exception& fault) {
    return Refusal("ValidationException", {{"message", fault.what()}});
  }
  return Refusal("UnknownOperationException");
}

const TableStandin::Row* TableStandin::Find(const Row& keyed) const {
  const auto partition = this->partitions.find(TypedText(keyed, "pk"));
  if (partition == this->partitions.end()) return nullptr;
  const auto row = partition->second.find(TypedText(keyed, "sk"));
  return row == partition->second.end() ? nullptr : &row->second;
}

http::Response TableStandin::Get(const json::object& body) {
  ++this->reads;
  const Row* row = this->Find(body.at("Key").as_object());
  json::object answer;
  if (row != nullptr) answer["Item"] = *row;
  return http::JsonResponse(200, json::serialize(answer));
}

http::Response TableStandin::Query(const json::object& body) {
  ++this->reads;
  const json::object& values = body.at("ExpressionAttributeValues").as_object();
  const std::string partition_key = TypedText(values, ":p");
  const std::string prefix =
      values.contains(":s") ? TypedText(values, ":s") : std::string();
  json::array items;
  const auto partition = this->partitions.find(partition_key);
  if (partition != this->partitions.end()) {
    for (auto row = partition->second.lower_bound(prefix);
         row != partition->second.end() && row->first.starts_with(prefix);
         ++row) {
      items.push_back(row->second);
    }
  }
  json::object answer{{"Count", items.size()}, {"Items", std::move(items)}};
  return http::JsonResponse(200, json::serialize(answer));
}

http::Response TableStandin::Transact(const json::object& body) {
  const std::string token(body.at("ClientRequestToken").as_string());
  const json::array& items = body.at("TransactItems").as_array();
  const std::uint64_t content =
      coordination::StableHash(json::serialize(items));
  const auto known = this->tokens.find(token);
  if (known != this->tokens.end()) {
    if (known->second == content) return http::JsonResponse(200, "{}");
    return Refusal("IdempotentParameterMismatchException");
  }
  std::set<std::string> rows;
  for (const json::value& item : items) {
    const Row& keyed = KeyedRow(item);
    const std::string row =
        TypedText(keyed, "pk") + '\n' + TypedText(keyed, "sk");
    if (rows.insert(row).second) continue;
    return Refusal("ValidationException",
                   {{"message", "a transaction names one item twice"}});
  }
  json::array reasons;
  bool holds = true;
  for (const json::value& item : items) {
    const Row* row = this->Find(KeyedRow(item));
    if (ConditionHolds(ActionBody(item), row)) {
      reasons.push_back(json::object{{"Code", "None"}});
      continue;
    }
    holds = false;
    json::object reason{{"Code", "ConditionalCheckFailed"}};
    if (row != nullptr) reason["Item"] = *row;
    reasons.push_back(std::move(reason));
  }
  if (!holds) {
    return Refusal("TransactionCanceledException",
                   {{"CancellationReasons", std::move(reasons)}});
  }
  for (const json::value& item : items) this->Apply(item.as_object());
  this->tokens.emplace(token, content);
  this->token_order.push_back(token);
  if (this->token_order.size() > kMaxTokens) {
    this->tokens.erase(this->token_order.front());
    this->token_order.pop_front();
  }
  return http::JsonResponse(200, "{}");
}

void TableStandin::Apply(const json::object& action) {
  ++this->writes;
  const bool is_put = action.contains("Put");
  const json::object& body = action.begin()->value().as_object();
  const Row& keyed = body.at(is_put ? "Item" : "Key").as_object();
  Partition& partition = this->partitions[TypedText(keyed, "pk")];
  if (is_put) {
    partition[TypedText(keyed, "sk")] = keyed;
  } else {
    partition.erase(TypedText(keyed, "sk"));
  }
}

}  // namespace hornbeamspool::standin
