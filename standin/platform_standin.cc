#include "standin/platform_standin.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "http/task.h"

namespace hornbeamspool::standin {
namespace {

constexpr std::string_view kFaultPrefix = "/faults/";

http::Response RejectAnswer(http::Reject) {
  return http::JsonResponse(400, "{}");
}

coordination::TimePoint Now() {
  return std::chrono::time_point_cast<coordination::Duration>(
      std::chrono::steady_clock::now());
}

http::Response NotFound() { return http::JsonResponse(404, "{}"); }

}  // namespace

PlatformStandin::PlatformStandin(boost::asio::io_context& io, std::string vms)
    : io(&io),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          RejectAnswer),
      table_gate(io),
      object_gate(io),
      weight_gate(io),
      vm_gate(io),
      vms(std::move(vms)) {}

std::uint16_t PlatformStandin::Listen(std::string_view address) {
  return this->server.Listen(address);
}

FaultGate& PlatformStandin::GateOf(std::string_view path) {
  if (path.starts_with("/weights/")) return this->weight_gate;
  if (path == "/vms") return this->vm_gate;
  if (path == "/") return this->table_gate;
  return this->object_gate;
}

http::Task<void> PlatformStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  const std::string_view path = request.Path();
  const bool control = path.starts_with(kFaultPrefix) || path == "/stats" ||
                       (path == "/vms" && request.method == "PUT");
  if (control) {
    co_await exchange.Send(this->Control(request));
    co_return;
  }
  FaultGate& gate = this->GateOf(path);
  if (!co_await gate.Enter(exchange)) co_return;
  http::Response response;
  if (path == "/") {
    const std::string_view target = request.HeaderValue("X-Amz-Target");
    response =
        this->table.Call(target.substr(target.find('.') + 1), request.body);
  } else if (path == "/vms") {
    response = http::JsonResponse(200, this->LaggingVms());
  } else if (path.starts_with("/weights/")) {
    response = this->Weights(request);
  } else {
    response = this->Objects(request);
  }
  co_await gate.Leave(exchange, std::move(response));
}

http::Response PlatformStandin::Objects(const http::Request& request) {
  const std::string key(request.Path());
  if (request.method == "PUT") {
    this->objects[key] = request.body;
    return http::JsonResponse(200, "{}");
  }
  const auto found = this->objects.find(key);
  if (found == this->objects.end()) return NotFound();
  return http::JsonResponse(200, found->second);
}

// The newest list whose lag has passed.
const std::string& PlatformStandin::LaggingVms() {
  while (!this->vm_changes.empty() && this->vm_changes.front().due <= Now()) {
    this->vms = std::move(this->vm_changes.front().vms);
    this->vm_changes.pop_front();
  }
  return this->vms;
}

http::Response PlatformStandin::Weights(const http::Request& request) {
  const std::string service(request.Path());
  if (request.method != "PUT") {
    const auto found = this->weights.find(service);
    return found == this->weights.end()
               ? NotFound()
               : http::JsonResponse(200, found->second);
  }
  const coordination::TimePoint now = Now();
  const auto last = this->weights_at.find(service);
  const bool limited =
      last != this->weights_at.end() && now - last->second < kWeightInterval;
  if (limited) return http::JsonResponse(429, "{}");
  this->weights_at[service] = now;
  this->weights[service] = request.body;
  return http::JsonResponse(200, "{}");
}

// Faults, counters and the list of VMs, for tests and operators of the
// stand-in.
http::Response PlatformStandin::Control(const http::Request& request) {
  if (request.Path() == "/stats") {
    return http::JsonResponse(
        200, boost::json::serialize(
                 boost::json::object{{"table_reads", this->table.Reads()},
                                     {"table_writes", this->table.Writes()}}));
  }
  if (request.Path() == "/vms") {
    this->vm_changes.push_back({Now() + this->vm_gate.Get().lag, request.body});
    return http::JsonResponse(200, "{}");
  }
  const std::string_view which = request.Path().substr(kFaultPrefix.size());
  FaultGate* gate = nullptr;
  if (which == "table") gate = &this->table_gate;
  if (which == "objects") gate = &this->object_gate;
  if (which == "weights") gate = &this->weight_gate;
  if (which == "vms") gate = &this->vm_gate;
  if (gate == nullptr) return NotFound();
  if (!gate->Set(request.body)) return http::JsonResponse(400, "{}");
  return http::JsonResponse(200, "{}");
}

}  // namespace hornbeamspool::standin
