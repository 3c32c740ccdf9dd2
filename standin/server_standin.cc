#include "standin/server_standin.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace hornbeamspool::standin {
namespace {

constexpr int kStreamEvents = 10;
constexpr coordination::Duration kEventInterval = std::chrono::milliseconds(20);

// A body that contains this text ends the process, as a fault in the server
// would.
constexpr std::string_view kCrashMarker = "CRASH-THE-SERVER";

[[noreturn]] void Crash(const http::Request& request) {
  std::cout << "crash at_ms=" << UnixMs() << " body=" << request.body
            << std::endl;
  std::_Exit(1);
}

}  // namespace

ServerStandin::ServerStandin(boost::asio::io_context& io, std::string id)
    : io(&io),
      id(std::move(id)),
      server(
          io, http::ServerLimits{},
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason) { return http::JsonResponse(400, "{}"); }),
      fault_injector(io) {}

std::uint16_t ServerStandin::Listen(std::string_view address) {
  return this->server.Listen(address);
}

http::Task<void> ServerStandin::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  if (co_await this->fault_injector.HandleControl(exchange)) co_return;
  if (request.Path() == "/runs") {
    co_await exchange.Send(this->RunCounts());
    co_return;
  }
  if (co_await this->fault_injector.HandleArrivals(exchange)) co_return;
  this->fault_injector.CountArrival(request);
  if (!co_await this->fault_injector.BeforeRequest(exchange)) co_return;
  if (co_await this->fault_injector.HandlePause(exchange)) co_return;
  const std::string attempt(request.HeaderValue("Attempt-Id"));
  http::Response answer;
  answer.headers.push_back({"Attempt-Id", attempt});
  this->fault_injector.AddAnnouncements(answer);
  const std::string_view expected = request.HeaderValue("Expect-Instance");
  if (!expected.empty() && expected != this->id) {
    answer.status = 421;
    answer.headers.push_back({"Instance-Id", this->id});
    co_await exchange.Send(std::move(answer));
    co_return;
  }
  ++this->run_counts[attempt];
  if (request.body.find(kCrashMarker) != std::string::npos) Crash(request);
  answer.headers.push_back({"Server-Stamp", "stamp-" + this->id});
  answer.headers.push_back({"Instance-Load", "1,0,8"});
  const bool streams = request.Path().starts_with("/stream/") &&
                       !this->fault_injector.Active().endless;
  if (streams) {
    co_await this->SendStream(exchange, std::move(answer));
    co_return;
  }
  answer.body = request.method + ' ' + request.target + ' ' + request.body +
                " tenant=" + std::string(request.HeaderValue("Tenant"));
  co_await this->fault_injector.Respond(exchange, std::move(answer));
}

http::Task<void> ServerStandin::SendStream(http::Exchange& exchange,
                                           http::Response head) {
  const std::string_view after =
      exchange.GetRequest().HeaderValue("Last-Event-Id");
  int first = 0;
  if (!after.empty()) {
    std::from_chars(after.data(), after.data() + after.size(), first);
    ++first;
  }
  head.headers.push_back({"Content-Type", "text/event-stream"});
  if (!co_await exchange.BeginStream(std::move(head))) co_return;
  http::Timer timer(*this->io);
  for (int i = first; i < kStreamEvents; ++i) {
    const std::string number = std::to_string(i);
    std::string event = "id: ";
    event += number;
    event += "\ndata: event ";
    event += number;
    event += "\n\n";
    if (!co_await exchange.Write(event)) co_return;
    if (this->fault_injector.Active().down) {  // in the middle of the stream
      exchange.Abort();
      co_return;
    }
    timer.expires_after(kEventInterval);
    co_await timer.async_wait(http::kAwait);
  }
  co_await exchange.EndStream();
}

http::Response ServerStandin::RunCounts() const {
  boost::json::object counts;
  for (const auto& [attempt, count] : this->run_counts) counts[attempt] = count;
  return http::JsonResponse(200, boost::json::serialize(counts));
}

}  // namespace hornbeamspool::standin
