#include "hornbeamspool/operator_server.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <optional>
#include <utility>

#include "hornbeamspool/budget_admin.h"
#include "hornbeamspool/config_store.h"
#include "hornbeamspool/error_response.h"
#include "hornbeamspool/ledger_rows.h"
#include "http/background_task.h"
#include "http/client_memory.h"
#include "http/task.h"
#include "settings/check.h"
#include "settings/settings_error.h"
#include "transport/mac.h"

namespace hornbeamspool {
namespace {

namespace json = boost::json;
namespace net = boost::asio;
using policy::ErrorKind;

http::Response OkResponse(const json::object& body) {
  return http::JsonResponse(200, json::serialize(body));
}

http::Response SettingsErrorsResponse(
    std::span<const settings::SettingsError> errors) {
  json::array list;
  for (const settings::SettingsError& error : errors) {
    list.push_back(
        json::object{{"where", error.where}, {"message", error.message}});
  }
  json::object body{{"accepted", false}, {"faults", std::move(list)}};
  return http::JsonResponse(400, json::serialize(body));
}

// The error response for an outcome; empty on success.
std::optional<http::Response> AdminErrorResponse(AdminOutcome outcome) {
  switch (outcome) {
    case AdminOutcome::kNotFound:
      return ErrorResponse(ErrorKind::kNotFound, "no budget has this name");
    case AdminOutcome::kConflict:
      return ErrorResponse(ErrorKind::kConflict,
                           "the budget exists, or the id was used with other "
                           "figures, or others kept changing the budget");
    case AdminOutcome::kUnavailable:
      return ErrorResponse(ErrorKind::kStoreUnavailable,
                           "the store did not answer; repeat with the same id");
    default:
      return std::nullopt;
  }
}

// The body of a request that creates or tops up a budget.
struct BudgetChange {
  std::string name;
  std::string id;
  std::int64_t tokens = 0;
};

std::optional<BudgetChange> ParseBudgetChange(std::string_view text) {
  json::error_code error;
  const json::value document = json::parse(text, error);
  const json::object* body = error ? nullptr : document.if_object();
  if (body == nullptr) return std::nullopt;
  const json::value* name = body->if_contains("name");
  const json::value* id = body->if_contains("id");
  const json::value* tokens = body->if_contains("tokens");
  if (name == nullptr || !name->is_string()) return std::nullopt;
  if (id == nullptr || !id->is_string()) return std::nullopt;
  if (tokens == nullptr || !tokens->is_int64()) return std::nullopt;
  BudgetChange change{std::string(name->get_string()),
                      std::string(id->get_string()), tokens->get_int64()};
  // Small enough that a sum of top-ups cannot overflow 64 bits.
  constexpr std::int64_t kMaxTokensPerChange = 1'000'000'000'000'000;
  const bool valid = !change.name.empty() && !change.id.empty() &&
                     change.tokens > 0 && change.tokens <= kMaxTokensPerChange;
  return valid ? std::optional(change) : std::nullopt;
}

json::object MemberObject(const coordination::Member& member,
                          std::uint64_t newest_epoch) {
  const coordination::MemberReport& report = member.report;
  return {{"name", report.name},
          {"availability_zone", report.availability_zone},
          {"state", coordination::MemberStateName(member.state)},
          {"operator_address", report.operator_address},
          {"config_epoch", report.config_epoch},
          {"config_confirmed", report.config_epoch >= newest_epoch}};
}

json::object EventObject(const RecordedEvent& recorded, std::string_view node) {
  const policy::Event& event = recorded.event;
  return {{"wall_us", recorded.at.wall_us},
          {"counter", recorded.at.counter},
          {"node", node},
          {"event", EventKindName(event.kind)},
          {"request", event.request},
          {"budget", event.budget},
          {"move", event.move},
          {"detail", event.detail}};
}

// Apart from the callers' memory: operators have a thread of their own.
std::int64_t OperatorMemory(const settings::NodeSettings& settings) {
  constexpr std::int64_t kDivisor = 16;
  constexpr std::int64_t kMinBytes = std::int64_t{10} << 20U;
  return std::max(kMinBytes, settings.callers.process_memory_bytes / kDivisor);
}

http::ServerLimits MakeServerLimits() {
  http::ServerLimits limits;
  limits.max_connections = 256;
  return limits;
}

}  // namespace

OperatorServer::OperatorServer(const settings::NodeSettings& settings,
                               OperatorSources sources, EventSink& sink)
    : settings(settings),
      sources(sources),
      sink(&sink),
      on_exception(MakeFaultReporter("operators", *sources.metrics, sink)),
      work_guard(net::make_work_guard(this->io)),
      client(this->io),
      store(this->client, settings.platform.store, settings.platform.timeout),
      table(this->store, std::string(rows::kTable)),
      server(
          this->io, MakeServerLimits(),
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason reject) { return RejectResponse(reject); },
          this->on_exception,
          std::make_shared<http::ClientMemory>(
              this->io, policy::MemoryLimitsFor(0, OperatorMemory(settings)))) {
  this->server.SetRejectObserver(MakeRejectReporter(*sources.metrics, sink));
}

OperatorServer::~OperatorServer() { this->Stop(); }

bool OperatorServer::Start() {
  if (this->server.Listen(this->settings.operators.address) == 0) return false;
  this->thread =
      std::thread([this] { http::RunEventLoop(this->io, this->on_exception); });
  return true;
}

void OperatorServer::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

const std::vector<OperatorServer::Endpoint>& OperatorServer::Endpoints() {
  static const std::vector<Endpoint> endpoints{
      {"GET", "/healthz", true, &OperatorServer::Health},
      {"GET", "/readyz", true, &OperatorServer::Ready},
      {"GET", "/metrics", true, &OperatorServer::MetricsText},
      {"GET", "/v1/nodes", false, &OperatorServer::Nodes},
      {"GET", "/v1/timeline", false, &OperatorServer::Timeline},
      {"GET", "/v1/config", false, &OperatorServer::GetConfig},
      {"PUT", "/v1/config", false, &OperatorServer::StoreConfig},
      {"GET", "/v1/budgets", false, &OperatorServer::GetBudget},
      {"POST", "/v1/budgets", false, &OperatorServer::CreateBudget},
      {"POST", "/v1/top-ups", false, &OperatorServer::TopUp},
      {"GET", "/v1/bills", false, &OperatorServer::Bills},
      {"GET", "/v1/moves", false, &OperatorServer::Rollouts},
      {"POST", "/v1/moves", false, &OperatorServer::Rollouts},
  };
  return endpoints;
}

http::Task<void> OperatorServer::Handle(http::Exchange& exchange) {
  http::Response response = co_await this->Dispatch(exchange.GetRequest());
  co_await exchange.Send(std::move(response));
}

http::Task<http::Response> OperatorServer::Dispatch(
    const http::Request& request) {
  const std::string_view path = request.Path();
  bool path_known = false;
  for (const Endpoint& endpoint : Endpoints()) {
    if (endpoint.path != path) continue;
    path_known = true;
    if (endpoint.method != request.method) continue;
    constexpr std::string_view kBearer = "Bearer ";
    const std::string_view authorization = request.HeaderValue("Authorization");
    const bool authorized =
        endpoint.is_public ||
        (authorization.starts_with(kBearer) &&
         transport::Sha256Hex(authorization.substr(kBearer.size())) ==
             this->settings.operators.key_sha256);
    if (!authorized) co_return ErrorResponse(ErrorKind::kUnauthenticated);
    co_return co_await (this->*endpoint.handle)(request);
  }
  co_return ErrorResponse(path_known ? ErrorKind::kMethodNotAllowed
                                     : ErrorKind::kNotFound);
}

http::Task<http::Response> OperatorServer::Health(const http::Request&) {
  co_return http::JsonResponse(200, R"({"healthy":true})");
}

http::Task<http::Response> OperatorServer::Ready(const http::Request&) {
  const auto status = this->sources.status->Read();
  if (!status->ready) co_return ErrorResponse(ErrorKind::kNotReady);
  co_return http::JsonResponse(200, R"({"ready":true})");
}

http::Task<http::Response> OperatorServer::MetricsText(const http::Request&) {
  http::Response response;
  response.headers = {{"Content-Type", "text/plain; version=0.0.4"}};
  response.body = this->sources.metrics->Text();
  co_return response;
}

http::Task<http::Response> OperatorServer::Nodes(const http::Request&) {
  const auto status = this->sources.status->Read();
  const auto members = this->sources.members->Read();
  std::uint64_t newest = status->config_epoch;
  for (const coordination::Member& member : *members) {
    newest = std::max(newest, member.report.config_epoch);
  }
  json::array nodes;
  for (const coordination::Member& member : *members) {
    nodes.push_back(MemberObject(member, newest));
  }
  json::array upstreams;
  for (const UpstreamStatus& upstream : status->upstreams) {
    upstreams.push_back(
        json::object{{"name", upstream.name},
                     {"service", upstream.service},
                     {"version", upstream.version},
                     {"availability_zone", upstream.availability_zone},
                     {"state", upstream.leaving ? "leaving" : "live"},
                     {"open_requests", upstream.open_requests}});
  }
  co_return OkResponse({{"answered_by", this->settings.name},
                        {"newest_epoch", newest},
                        {"in_flight", status->in_flight},
                        {"billing_backlog", status->billing_backlog},
                        {"nodes", std::move(nodes)},
                        {"upstreams", std::move(upstreams)}});
}

http::Task<http::Response> OperatorServer::Timeline(
    const http::Request& request) {
  TimelineFilter filter;
  filter.request = request.QueryValue("request");
  filter.budget = request.QueryValue("budget");
  filter.move = request.QueryValue("move");
  json::array events;
  for (const RecordedEvent& recorded :
       this->sources.recorder->Timeline(filter)) {
    events.push_back(EventObject(recorded, this->settings.name));
  }
  co_return OkResponse({{"events", std::move(events)}});
}

http::Task<http::Response> OperatorServer::GetConfig(const http::Request&) {
  const auto stored = co_await ReadStoredConfig(this->table, this->store);
  if (!stored) co_return ErrorResponse(ErrorKind::kStoreUnavailable);
  co_return OkResponse({{"epoch", stored->epoch}, {"text", stored->text}});
}

http::Task<http::Response> OperatorServer::StoreConfig(
    const http::Request& request) {
  const settings::SettingsErrorList errors =
      settings::CheckFleetConfig(request.body);
  if (!errors.empty()) co_return SettingsErrorsResponse(errors);
  const std::string base_text = request.QueryValue("base");
  std::uint64_t base = 0;
  const auto parsed = std::from_chars(
      base_text.data(), base_text.data() + base_text.size(), base);
  if (parsed.ec != std::errc{}) {
    co_return ErrorResponse(ErrorKind::kMalformedRequest,
                            "base must be the epoch that was changed");
  }
  const PutOutcome outcome =
      co_await PutConfig(this->table, this->store, request.body, base);
  if (outcome == PutOutcome::kConflict) {
    co_return ErrorResponse(
        ErrorKind::kConflict,
        "another configuration was accepted in the meantime");
  }
  if (outcome == PutOutcome::kUnavailable) {
    co_return ErrorResponse(ErrorKind::kStoreUnavailable);
  }
  co_return OkResponse({{"accepted", true}, {"epoch", base + 1}});
}

http::Task<http::Response> OperatorServer::GetBudget(
    const http::Request& request) {
  const std::string name = request.QueryValue("name");
  const BudgetReport report = co_await GetBudgetReport(this->table, name);
  if (const auto error = AdminErrorResponse(report.outcome)) {
    co_return *error;
  }
  json::array holders;
  for (const HolderGrant& holder : report.holders) {
    holders.push_back(json::object{{"holder", holder.holder},
                                   {"granted", holder.granted},
                                   {"settled", holder.spent}});
  }
  co_return OkResponse({{"name", name},
                        {"prepaid", report.ledger.total},
                        {"granted", report.ledger.granted},
                        {"settled", report.spent},
                        {"ungranted", report.ledger.Ungranted()},
                        {"balance", report.ledger.total - report.spent},
                        {"holders", std::move(holders)}});
}

http::Task<http::Response> OperatorServer::CreateBudget(
    const http::Request& request) {
  co_return co_await this->ChangeBudget(request, true);
}

http::Task<http::Response> OperatorServer::TopUp(const http::Request& request) {
  co_return co_await this->ChangeBudget(request, false);
}

http::Task<http::Response> OperatorServer::ChangeBudget(
    const http::Request& request, bool create) {
  const auto change = ParseBudgetChange(request.body);
  if (!change) {
    co_return ErrorResponse(
        ErrorKind::kMalformedRequest,
        "needs name, id and tokens, a whole number from 1 to 10^15");
  }
  const AdminOutcome outcome = co_await AddToBudget(
      this->table, change->name, change->tokens, change->id, create);
  if (const auto error = AdminErrorResponse(outcome)) co_return *error;
  policy::Event event;
  event.kind = create ? policy::EventKind::kBudgetCreated
                      : policy::EventKind::kBudgetToppedUp;
  event.budget = change->name;
  event.detail = policy::KeyValue("tokens", change->tokens) + ' ' +
                 policy::KeyValue("id", change->id);
  this->sink->Record(std::move(event));
  co_return OkResponse({{"name", change->name},
                        {"id", change->id},
                        {"tokens", change->tokens},
                        {"repeated", outcome == AdminOutcome::kAlreadyDone}});
}

http::Task<http::Response> OperatorServer::Bills(const http::Request& request) {
  const BillReport report =
      co_await ListBills(this->table, request.QueryValue("organisation"),
                         request.QueryValue("key"));
  if (const auto error = AdminErrorResponse(report.outcome)) {
    co_return *error;
  }
  json::array bills;
  for (const BillLine& bill : report.bills) {
    bills.push_back(json::object{{"key", bill.request_key},
                                 {"request", bill.request_id},
                                 {"budget", bill.budget},
                                 {"service", bill.service},
                                 {"version", bill.version},
                                 {"prompt_tokens", bill.prompt_tokens},
                                 {"completion_tokens", bill.completion_tokens},
                                 {"amount", bill.amount}});
  }
  co_return OkResponse({{"bills", std::move(bills)}});
}

http::Task<http::Response> OperatorServer::Rollouts(const http::Request&) {
  co_return ErrorResponse(ErrorKind::kNotAvailable,
                          "version moves are not available yet");
}

}  // namespace hornbeamspool
