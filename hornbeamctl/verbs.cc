#include "hornbeamctl/verbs.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <vector>

#include "hornbeamctl/explain.h"
#include "hornbeamctl/output.h"
#include "settings/check.h"
#include "settings/json_text.h"

namespace hornbeamspool::ctl {
namespace {

namespace json = boost::json;
using Arguments = std::span<const std::string_view>;

std::optional<std::string> ReadFile(std::string_view path) {
  std::ifstream file{std::string(path)};
  if (!file) {
    std::cerr << "cannot read " << path << '\n';
    return std::nullopt;
  }
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Prints why a call failed and returns the exit code; empty on success.
std::optional<int> ReportFailure(const CallResult& result) {
  if (!result.reached) {
    std::cerr << "no response from the operators' address of the router\n";
    return kExitUnreachable;
  }
  if (result.status < 300) return std::nullopt;
  constexpr std::uint16_t kNotImplemented = 501;
  const json::object* body = result.body.if_object();
  const json::value* error = body ? body->if_contains("error") : nullptr;
  if (error != nullptr && error->is_object()) {
    std::cerr << PlainText(error->get_object().at("code")) << ": "
              << PlainText(error->get_object().at("message")) << '\n';
  } else {
    std::cerr << "the router refused the request with HTTP status "
              << result.status << '\n';
  }
  return result.status == kNotImplemented ? kExitNotAvailable : kExitRefused;
}

// Prints the result as JSON or as `key: value` lines; returns the exit code.
int PrintResult(const CallResult& result, const VerbOptions& options) {
  if (const auto failure = ReportFailure(result)) return *failure;
  if (options.json) {
    PrintJson(result.body);
  } else {
    PrintMembers(result.body);
  }
  return kExitOk;
}

json::array ErrorArray(const settings::SettingsErrorList& errors) {
  json::array list;
  for (const settings::SettingsError& error : errors) {
    list.push_back(
        json::object{{"where", error.where}, {"message", error.message}});
  }
  return list;
}

int ConfigCheck(const OperatorClient&, const VerbOptions& options,
                Arguments arguments) {
  int code = kExitOk;
  json::array report;
  for (const std::string_view path : arguments) {
    const auto text = ReadFile(path);
    if (!text) return kExitUsage;
    const settings::SettingsErrorList errors = settings::CheckSettings(*text);
    if (!errors.empty()) code = kExitSettingsErrors;
    report.push_back(json::object{{"file", path},
                                  {"sound", errors.empty()},
                                  {"faults", ErrorArray(errors)}});
    if (options.json) continue;
    if (errors.empty()) std::cout << path << ": sound\n";
    for (const settings::SettingsError& error : errors) {
      std::cout << path << ": " << error.where << ": " << error.message << '\n';
    }
  }
  if (options.json) PrintJson(report);
  return code;
}

// Stores `text` as the new configuration. The router refuses it unless `base`
// is still the epoch of the stored configuration.
CallResult StoreConfig(const OperatorClient& client, std::uint64_t base,
                       std::string text) {
  return client.Send("PUT", "/v1/config?base=" + std::to_string(base),
                     std::move(text));
}

int ConfigPut(const OperatorClient& client, const VerbOptions& options,
              Arguments arguments) {
  auto text = ReadFile(arguments[0]);
  if (!text) return kExitUsage;
  const settings::SettingsErrorList errors = settings::CheckSettings(*text);
  for (const settings::SettingsError& error : errors) {
    std::cerr << error.where << ": " << error.message << '\n';
  }
  if (!errors.empty()) return kExitSettingsErrors;
  const CallResult stored = client.Get("/v1/config");
  if (const auto failure = ReportFailure(stored)) return *failure;
  const auto base = stored.body.at("epoch").to_number<std::uint64_t>();
  return PrintResult(StoreConfig(client, base, std::move(*text)), options);
}

int ConfigShow(const OperatorClient& client, const VerbOptions& options,
               Arguments) {
  const CallResult stored = client.Get("/v1/config");
  if (const auto failure = ReportFailure(stored)) return *failure;
  if (options.json) {
    PrintJson(stored.body);
  } else {
    std::cout << PlainText(stored.body.at("text")) << '\n';
  }
  return kExitOk;
}

// The stored configuration, parsed for editing.
struct EditableConfig {
  std::uint64_t base = 0;  // its epoch
  json::value document;
};

// Prints the reason and sets `code` if there is no configuration to edit.
std::optional<EditableConfig> FetchEditable(const OperatorClient& client,
                                            int& code) {
  const CallResult stored = client.Get("/v1/config");
  if (const auto failure = ReportFailure(stored)) {
    code = *failure;
    return std::nullopt;
  }
  EditableConfig editable;
  editable.base = stored.body.at("epoch").to_number<std::uint64_t>();
  const std::string text = PlainText(stored.body.at("text"));
  const bool parsed = boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<bool> {
        BOOST_LEAF_ASSIGN(editable.document, settings::ParseJsonText(text));
        return true;
      },
      [] { return false; });
  if (parsed && editable.document.is_object()) return editable;
  std::cerr << "the router has no configuration yet\n";
  code = kExitRefused;
  return std::nullopt;
}

json::array ClassRows(const json::value& document) {
  json::array rows;
  for (const json::value& work_class : document.at("classes").as_array()) {
    json::object row = work_class.at("targets").as_object();
    row["name"] = work_class.at("name");
    rows.push_back(std::move(row));
  }
  return rows;
}

int ClassList(const OperatorClient& client, const VerbOptions& options,
              Arguments) {
  int code = kExitOk;
  const auto editable = FetchEditable(client, code);
  if (!editable) return code;
  const json::array rows = ClassRows(editable->document);
  if (options.json) {
    PrintJson(rows);
    return kExitOk;
  }
  constexpr std::array<std::string_view, 4> kColumns{
      "name", "first_token_ms", "token_gap_ms", "deadline_ms"};
  PrintTable(rows, kColumns);
  return kExitOk;
}

// Creates a work class, or replaces the targets of an existing one.
int ClassSet(const OperatorClient& client, const VerbOptions& options,
             Arguments arguments) {
  if (options.first_token_ms < 1 || options.token_gap_ms < 1 ||
      options.deadline_ms < 1) {
    std::cerr
        << "requires --first_token_ms, --token_gap_ms and --deadline_ms\n";
    return kExitUsage;
  }
  int code = kExitOk;
  auto editable = FetchEditable(client, code);
  if (!editable) return code;
  json::object work_class{
      {"name", arguments[0]},
      {"targets", json::object{{"first_token_ms", options.first_token_ms},
                               {"token_gap_ms", options.token_gap_ms},
                               {"deadline_ms", options.deadline_ms}}}};
  json::array& classes = editable->document.at("classes").as_array();
  const auto found = std::find_if(
      classes.begin(), classes.end(), [&](const json::value& known) {
        return PlainText(known.at("name")) == arguments[0];
      });
  if (found != classes.end()) {
    *found = std::move(work_class);
  } else {
    classes.push_back(std::move(work_class));
  }
  return PrintResult(
      StoreConfig(client, editable->base, json::serialize(editable->document)),
      options);
}

int ChangeBudget(const OperatorClient& client, const VerbOptions& options,
                 const std::string& target, std::string_view name) {
  if (options.tokens < 1 || options.id.empty()) {
    std::cerr << "requires --tokens and --id; a repeat with the same id has no "
                 "effect\n";
    return kExitUsage;
  }
  const json::object body{
      {"name", name}, {"tokens", options.tokens}, {"id", options.id}};
  return PrintResult(client.Send("POST", target, json::serialize(body)),
                     options);
}

int BudgetCreate(const OperatorClient& client, const VerbOptions& options,
                 Arguments arguments) {
  return ChangeBudget(client, options, "/v1/budgets", arguments[0]);
}

int BudgetTopUp(const OperatorClient& client, const VerbOptions& options,
                Arguments arguments) {
  return ChangeBudget(client, options, "/v1/top-ups", arguments[0]);
}

int BudgetShow(const OperatorClient& client, const VerbOptions& options,
               Arguments arguments) {
  const CallResult result =
      client.Get("/v1/budgets?name=" + EncodeQueryValue(arguments[0]));
  const int code = PrintResult(result, options);
  if (code != kExitOk || options.json) return code;
  constexpr std::array<std::string_view, 3> kColumns{"holder", "granted",
                                                     "settled"};
  PrintTable(result.body.at("holders"), kColumns);
  return kExitOk;
}

int BillList(const OperatorClient& client, const VerbOptions& options,
             Arguments arguments) {
  if (options.organisation.empty()) {
    std::cerr << "requires --organisation\n";
    return kExitUsage;
  }
  std::string target =
      "/v1/bills?organisation=" + EncodeQueryValue(options.organisation);
  if (!arguments.empty()) target += "&key=" + EncodeQueryValue(arguments[0]);
  const CallResult result = client.Get(target);
  if (const auto failure = ReportFailure(result)) return *failure;
  if (options.json) {
    PrintJson(result.body);
    return kExitOk;
  }
  constexpr std::array<std::string_view, 7> kColumns{
      "key",     "budget",        "service",
      "version", "prompt_tokens", "completion_tokens",
      "amount"};
  PrintTable(result.body.at("bills"), kColumns);
  return kExitOk;
}

int Rollout(const OperatorClient& client, const VerbOptions& options,
            Arguments) {
  return PrintResult(client.Get("/v1/moves"), options);
}

int Nodes(const OperatorClient& client, const VerbOptions& options, Arguments) {
  const CallResult result = client.Get("/v1/nodes");
  const int code = PrintResult(result, options);
  if (code != kExitOk || options.json) return code;
  constexpr std::array<std::string_view, 5> kNodeColumns{
      "name", "availability_zone", "state", "config_epoch", "config_confirmed"};
  std::cout << '\n';
  PrintTable(result.body.at("nodes"), kNodeColumns);
  constexpr std::array<std::string_view, 6> kUpstreamColumns{
      "name",  "service",      "version", "availability_zone",
      "state", "open_requests"};
  std::cout << '\n';
  PrintTable(result.body.at("upstreams"), kUpstreamColumns);
  return kExitOk;
}

// The operators' addresses of this router and of all nodes that it knows.
std::vector<std::string> AllOperatorAddresses(const OperatorClient& client) {
  std::vector<std::string> addresses{client.Address()};
  const CallResult nodes = client.Get("/v1/nodes");
  if (!nodes.reached || nodes.status >= 300) return addresses;
  for (const json::value& node : nodes.body.at("nodes").as_array()) {
    std::string address = PlainText(node.at("operator_address"));
    if (address.empty() || address == client.Address()) continue;
    addresses.push_back(std::move(address));
  }
  return addresses;
}

// Prints the events of all nodes, ordered by their hybrid logical clocks.
int Timeline(const OperatorClient& client, const VerbOptions& options,
             Arguments) {
  const std::string target =
      "/v1/timeline?request=" + EncodeQueryValue(options.request) +
      "&budget=" + EncodeQueryValue(options.budget) +
      "&move=" + EncodeQueryValue(options.move);
  using Key = std::tuple<std::int64_t, std::int64_t, std::string>;
  std::multimap<Key, json::value> merged;
  bool reached = false;
  for (const std::string& address : AllOperatorAddresses(client)) {
    const CallResult result = client.WithAddress(address).Get(target);
    if (!result.reached) {
      std::cerr << "no response from " << address << '\n';
      continue;
    }
    if (const auto failure = ReportFailure(result)) return *failure;
    reached = true;
    for (const json::value& event : result.body.at("events").as_array()) {
      merged.emplace(Key{event.at("wall_us").to_number<std::int64_t>(),
                         event.at("counter").to_number<std::int64_t>(),
                         PlainText(event.at("node"))},
                     event);
    }
  }
  if (!reached) return kExitUnreachable;
  json::array lines;
  for (auto& [key, event] : merged) lines.push_back(std::move(event));
  if (options.json) {
    PrintJson(lines);
    return kExitOk;
  }
  constexpr std::array<std::string_view, 6> kColumns{
      "wall_us", "node", "event", "request", "budget", "detail"};
  PrintTable(lines, kColumns);
  return kExitOk;
}

// Explains one request from log files of gateways.
int ExplainRequest(const OperatorClient&, const VerbOptions&,
                   Arguments arguments) {
  std::vector<std::string> lines;
  for (const std::string_view path : arguments.subspan(1)) {
    std::ifstream file{std::string(path)};
    if (!file) {
      std::cerr << "cannot read " << path << '\n';
      return kExitUsage;
    }
    std::string line;
    while (std::getline(file, line)) lines.push_back(line);
  }
  if (arguments[0].empty()) {
    std::cerr << "the request id is empty\n";
    return kExitUsage;
  }
  const std::vector<std::string> explanation = Explain(arguments[0], lines);
  if (explanation.empty()) {
    std::cerr << "no log line names request " << arguments[0] << '\n';
    return kExitRefused;
  }
  for (const std::string& line : explanation) std::cout << line << '\n';
  return kExitOk;
}

constexpr std::array<Verb, 16> kVerbs{{
    {"config", "check", "FILE...", "report every error in settings files",
     ConfigCheck, 1},
    {"config", "put", "FILE", "check and store a fleet configuration",
     ConfigPut, 1},
    {"config", "show", "", "print the stored configuration", ConfigShow, 0},
    {"class", "list", "", "list work classes and their targets", ClassList, 0},
    {"class", "set", "NAME", "create a work class or change its targets",
     ClassSet, 1},
    {"budget", "create", "NAME", "create a budget of --tokens tokens",
     BudgetCreate, 1},
    {"budget", "top-up", "NAME", "add --tokens tokens to a budget", BudgetTopUp,
     1},
    {"budget", "show", "NAME", "show prepaid, granted and settled tokens",
     BudgetShow, 1},
    {"bill", "list", "[KEY]", "list the bills of --organisation", BillList, 0},
    {"move", "start", "...", "not available yet", Rollout, 0},
    {"move", "show", "...", "not available yet", Rollout, 0},
    {"move", "wait", "...", "not available yet", Rollout, 0},
    {"move", "undo", "...", "not available yet", Rollout, 0},
    {"nodes", "", "", "list routers, their configuration epochs and upstreams",
     Nodes, 0},
    {"timeline", "", "", "list the events of all routers by time", Timeline, 0},
    {"explain", "", "ID FILE...",
     "explain a request's outcome from gateway logs", ExplainRequest, 2},
}};

}  // namespace

std::span<const Verb> AllVerbs() { return kVerbs; }

}  // namespace hornbeamspool::ctl
