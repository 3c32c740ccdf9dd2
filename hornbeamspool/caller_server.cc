#include "hornbeamspool/caller_server.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "hornbeamspool/error_response.h"
#include "hornbeamspool/model_relay.h"
#include "hornbeamspool/plain_relay.h"
#include "http/background_task.h"
#include "http/client_memory.h"
#include "http/task.h"

namespace hornbeamspool {
namespace {

namespace net = boost::asio;

// Maximum number of messages of one request in flight in the listener queue.
constexpr std::size_t kMessagesPerRequest = 2;
constexpr coordination::Duration kCountInterval = std::chrono::milliseconds(20);

// What is parsed of a chat request's body, and the body for the upstream.
constexpr std::size_t kHandlerMemoryFactor = 2;

http::ServerLimits MakeServerLimits(const settings::CallerSettings& settings) {
  http::ServerLimits limits;
  limits.header_timeout = settings.header_timeout;
  limits.body_timeout = settings.body_timeout;
  limits.idle_timeout = settings.idle_timeout;
  limits.write_timeout = settings.write_timeout;
  limits.max_header_bytes = static_cast<std::uint32_t>(settings.header_bytes);
  limits.max_body_bytes = static_cast<std::uint64_t>(settings.body_bytes);
  limits.max_connections = static_cast<std::size_t>(settings.max_connections);
  limits.handler_memory_factor = kHandlerMemoryFactor;
  return limits;
}

}  // namespace

std::size_t CallerServer::ReservedSlots(
    const settings::CallerSettings& settings) {
  return kMessagesPerRequest * static_cast<std::size_t>(settings.max_in_flight);
}

std::size_t CallerServer::QueueCapacity(
    const settings::CallerSettings& settings) {
  return ReservedSlots(settings) +
         static_cast<std::size_t>(settings.max_in_flight);
}

CallerServer::CallerServer(const settings::CallerSettings& settings,
                           std::string request_prefix, Metrics& metrics,
                           EventSink& sink, const std::atomic<bool>& ready)
    : settings(settings),
      ready(&ready),
      on_exception(MakeFaultReporter("callers", metrics, sink)),
      work_guard(net::make_work_guard(this->io)),
      wakeup(this->io,
             [this] {
               this->replies.Drain([this](policy::AdmissionReply reply) {
                 this->admission_client->Deliver(std::move(reply));
               });
             }),
      replies(QueueCapacity(settings), [this] { this->wakeup.Notify(); }),
      client(this->io),
      server(
          this->io, MakeServerLimits(settings),
          [this](http::Exchange& exchange) { return this->Handle(exchange); },
          [](http::RejectReason reject) { return RejectResponse(reject); },
          this->on_exception,
          std::make_shared<http::ClientMemory>(
              this->io,
              policy::MemoryLimitsFor(settings.process_memory_bytes))) {
  this->server.SetRejectObserver(MakeRejectReporter(metrics, sink));
  this->context.client = &this->client;
  this->context.metrics = &metrics;
  this->context.sink = &sink;
  this->context.request_prefix = std::move(request_prefix);
}

CallerServer::~CallerServer() { this->Stop(); }

bool CallerServer::Start(SpscQueue<policy::ListenerMessage>& to_router) {
  this->admission_client = std::make_unique<AdmissionClient>(
      this->io, to_router, ReservedSlots(this->settings));
  this->context.admission_client = this->admission_client.get();
  if (this->server.Listen(this->settings.address) == 0) return false;
  http::SpawnBackgroundTask(
      this->io, [this] { return this->CountConnections(); },
      this->on_exception);
  this->thread =
      std::thread([this] { http::RunEventLoop(this->io, this->on_exception); });
  return true;
}

void CallerServer::Drain() {
  net::post(this->io, [this] { this->server.Drain(); });
}

void CallerServer::Stop() {
  this->io.stop();
  if (this->thread.joinable()) this->thread.join();
}

// Publishes the number of connections for Daemon::Shutdown(), which polls it on
// another thread.
http::Task<void> CallerServer::CountConnections() {
  http::Timer timer(this->io);
  while (true) {
    this->open_connections = this->server.OpenConnections();
    timer.expires_after(kCountInterval);
    co_await timer.async_wait(http::kAwait);
  }
}

http::Task<void> CallerServer::Handle(http::Exchange& exchange) {
  const http::Request& request = exchange.GetRequest();
  const std::string_view path = request.Path();
  if (path == "/v1/chat/completions") {
    if (request.method == "POST") {
      co_await RelayModel(this->context, exchange);
    } else {
      co_await exchange.Send(
          ErrorResponse(policy::ErrorKind::kMethodNotAllowed));
    }
    co_return;
  }
  if (path == "/healthz") {
    co_await exchange.Send(http::JsonResponse(200, R"({"healthy":true})"));
    co_return;
  }
  if (path == "/readyz") {
    http::Response response = http::JsonResponse(200, R"({"ready":true})");
    if (!this->ready->load()) {
      response = ErrorResponse(policy::ErrorKind::kNotReady);
    }
    co_await exchange.Send(std::move(response));
    co_return;
  }
  co_await RelayPlain(this->context, exchange);
}

}  // namespace hornbeamspool
