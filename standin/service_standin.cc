#include "standin/service_standin.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "http/task.h"

namespace hornbeamspool::standin {

namespace json = boost::json;

ServiceStandin::ServiceStandin(boost::asio::io_context& io, std::string name)
    : name(std::move(name)),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason) { return http::JsonResponse(400, "{}"); }),
      fault_injector(io) {}

std::uint16_t ServiceStandin::Listen(std::string_view address) {
  return this->server.Listen(address);
}

http::Task<void> ServiceStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  if (co_await this->fault_injector.HandleControl(exchange)) co_return;
  if (request.Path() == "/executions") {
    co_await exchange.Send(this->ExecutionCounts());
    co_return;
  }
  if (co_await this->fault_injector.HandleArrivals(exchange)) co_return;
  this->fault_injector.CountArrival(request);
  if (!co_await this->fault_injector.BeforeRequest(exchange)) co_return;
  // Faults that lose or change answers don't apply to load reports.
  if (request.Path() == "/api/report") {
    http::Response report = http::JsonResponse(200, R"({"waiting":0})");
    this->fault_injector.AddAnnouncements(report);
    co_await exchange.Send(std::move(report));
    co_return;
  }
  if (co_await this->fault_injector.HandlePause(exchange)) co_return;
  http::Response answer = this->Execute(request);
  this->fault_injector.AddAnnouncements(answer);
  co_await this->fault_injector.Respond(exchange, std::move(answer));
}

http::Response ServiceStandin::Execute(const http::Request& request) {
  json::object answer{{"service", this->name}, {"method", request.method}};
  if (request.method == "GET") {
    answer["orders"] = this->orders;
    return http::JsonResponse(200, json::serialize(answer));
  }
  ++this->executions[std::string(request.HeaderValue("Idempotency-Key"))];
  answer["order"] = ++this->orders;
  answer["bytes"] = request.body.size();
  return http::JsonResponse(201, json::serialize(answer));
}

http::Response ServiceStandin::ExecutionCounts() const {
  json::object counts;
  for (const auto& [key, count] : this->executions) counts[key] = count;
  return http::JsonResponse(200, json::serialize(counts));
}

}  // namespace hornbeamspool::standin
